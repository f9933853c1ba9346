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
#ifndef BAYHOIST_SOURCE_H
#define BAYHOIST_SOURCE_H

#include "bayhoist/members.h"

#define BH__SOURCES_MAX 6 /* sources that can be skipped at a time */
/* Children of a node in the tree of a new reader: it notifies them of the reader, and they ask it for the
 * state that the reader has read. */
#define BH__SOURCE_NEXT_MAX 8

/* A node's choice of source. Node ids are those of the members. */
typedef struct {
	uint64_t node; /* id of the node to ask; this node's own id: it asks none and reads the platform */
	struct {
		uint64_t node;     /* id of the source; 0: the slot is free */
		uint64_t until_us; /* the source is not asked before this time */
		bool unresponsive; /* the source did not answer; false: its state was not fresh */
	} skipped[BH__SOURCES_MAX];
	unsigned next_skipped; /* number of sources skipped so far; modulo the table size, the next slot to use */
	unsigned unresponsive_count; /* sources in a row that did not answer */
	unsigned stale_count;        /* sources that answered without fresh state since the last useful one */
	uint64_t new_reader;         /* node that has taken over reading the platform; 0: none */
	uint64_t new_reader_via; /* node that notified this one of the new reader, and is asked first; 0: none */
	uint64_t new_reader_until_us; /* end of the new reader's term */
} BH__Source;

bool bh__source_process_tick(BH__Source *s, const BH__Members *m, uint64_t now_us);
void bh__source_note_useful(BH__Source *s, uint64_t reader, uint64_t now_us);
void bh__source_note_silent(BH__Source *s, uint64_t now_us);
void bh__source_note_stale(BH__Source *s, uint64_t now_us);
bool bh__source_note_reader(BH__Source *s, const BH__Members *m, uint64_t reader, uint64_t via,
							uint64_t now_us);
bool bh__source_take_over(BH__Source *s, const BH__Members *m, bool reads, uint64_t now_us);
unsigned bh__source_list_next(const BH__Members *m, uint64_t reader, uint64_t child[BH__SOURCE_NEXT_MAX]);
bool bh__source_is_young(const BH__Source *s, uint64_t age_us, uint64_t max_age_us, uint64_t period_us);
bool bh__source_asks(const BH__Source *s, const BH__Members *m);
bool bh__source_reads(const BH__Source *s, const BH__Members *m, uint64_t now_us);
bool bh__source_is_cut_off(const BH__Source *s);
bool bh__source_is_platform_away(const BH__Source *s);
bool bh__source_is_hurried(const BH__Source *s, const BH__Members *m, uint64_t now_us);
uint64_t bh__source_get_look_wait_us(const BH__Members *m, double reads_per_s, uint64_t draw);

#endif
