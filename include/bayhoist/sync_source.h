/* SPDX-License-Identifier: BSD-3-Clause */
/* Choice of the node from which this node gets platform state, so that not every node reads the platform. One
 * node of all, the reader, reads the platform. In each data hall one node, the hall relay, asks the reader,
 * and the other nodes of the hall ask the hall relay. No node answers more than the nodes of its hall and one
 * node per other hall, whatever the number of nodes. All of this follows from membership, as the choice of
 * schedulers does.
 *
 * A source that is of no use is skipped for a while and another node is asked. A reader skips itself in the
 * same way, and continues to read meanwhile. When several sources answer and none has fresh state,
 * the platform counts as unavailable, either for all nodes or for those first in rank. Each node then asks
 * others in an order of its own and reads the platform at random times, so that all nodes together send a
 * fixed number of reads per second, however many they are. The first node that the platform answers takes
 * over: it reads for all and is the reader for a while. The notice of it, and the state that it reads, travel
 * down a tree that follows from the reader's id, so that no node sends to more than a few others. */
#ifndef BAYHOIST_SYNC_SOURCE_H
#define BAYHOIST_SYNC_SOURCE_H

#include "bayhoist/members.h"

#define BH__SYNC_SOURCE_SKIPPED_MAX 6 /* sources that can be skipped at a time */
/* Children of a node in the tree of a new reader: it notifies them of the reader, and they ask it for the
 * state that the reader has read. */
#define BH__SYNC_SOURCE_CHILDREN_MAX 8

/* A node's choice of source. Node ids are those of the members. */
typedef struct {
	uint64_t node; /* id of the node to ask; this node's own id: it asks none and reads the platform */
	struct {
		uint64_t node;     /* id of the source; 0: the slot is free */
		uint64_t until_us; /* the source is not asked before this time */
		bool unresponsive; /* the source did not answer; false: its state was not fresh */
	} skipped[BH__SYNC_SOURCE_SKIPPED_MAX];
	unsigned next_skipped; /* number of sources skipped so far; modulo the table size, the next slot to use */
	unsigned unresponsive_count; /* sources in a row that did not answer */
	unsigned stale_count;        /* sources that answered without fresh state since the last useful one */
	uint64_t new_reader;         /* node that has taken over reading the platform; 0: none */
	uint64_t new_reader_via; /* node that notified this one of the new reader, and is asked first; 0: none */
	uint64_t new_reader_until_us; /* end of the new reader's term */
} BH__SyncSource;

bool bh__sync_source_process_tick(BH__SyncSource *s, const BH__Members *m, uint64_t now_us);
void bh__sync_source_note_useful(BH__SyncSource *s, uint64_t reader, uint64_t now_us);
void bh__sync_source_note_unresponsive(BH__SyncSource *s, uint64_t now_us);
void bh__sync_source_note_stale(BH__SyncSource *s, uint64_t now_us);
bool bh__sync_source_note_reader(BH__SyncSource *s, const BH__Members *m, uint64_t reader, uint64_t via,
								 uint64_t now_us);
bool bh__sync_source_take_over(BH__SyncSource *s, const BH__Members *m, bool reads, uint64_t now_us);
unsigned bh__sync_source_list_children(const BH__Members *m, uint64_t reader,
									   uint64_t child[BH__SYNC_SOURCE_CHILDREN_MAX]);
bool bh__sync_source_is_fresh_enough(const BH__SyncSource *s, uint64_t age_us, uint64_t max_age_us,
									 uint64_t period_us);
bool bh__sync_source_asks(const BH__SyncSource *s, const BH__Members *m);
bool bh__sync_source_reads(const BH__SyncSource *s, const BH__Members *m, uint64_t now_us);
bool bh__sync_source_is_isolated(const BH__SyncSource *s);
bool bh__sync_source_is_platform_unavailable(const BH__SyncSource *s);
bool bh__sync_source_needs_short_hold(const BH__SyncSource *s, const BH__Members *m, uint64_t now_us);
uint64_t bh__sync_source_get_read_delay_us(const BH__Members *m, double reads_per_s, uint64_t draw);

#endif
