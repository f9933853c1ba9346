/* SPDX-License-Identifier: BSD-3-Clause */
/* One node's part in sharing platform state among all nodes: when it reads the platform itself, which node it
 * asks (BH__SyncSource), how it answers other nodes, and how it merges what they send. It reaches the gateway
 * and the platform through its port. It does no I/O and has no clock of its own. */
#ifndef BAYHOIST_PLATFORM_SYNC_H
#define BAYHOIST_PLATFORM_SYNC_H

#include "bayhoist/configuration_state.h"
#include "bayhoist/members.h"
#include "bayhoist/message.h"
#include "bayhoist/outage.h"
#include "bayhoist/registry.h"

/* Events for the log. */
typedef enum {
	BH__PLATFORM_SYNC_ASKS_SOURCE,    /* this node asks another source from now on */
	BH__PLATFORM_SYNC_READS_PLATFORM, /* this node reads the platform for others */
	BH__PLATFORM_SYNC_SOURCE_STALE,   /* the source has no fresh state */
	BH__PLATFORM_SYNC_SOURCE_SILENT,  /* the source does not answer */
	BH__PLATFORM_SYNC_SOURCE_DAMAGED, /* another node sent a configuration that cannot be unpacked */
	BH__PLATFORM_SYNC_OUT_OF_SYNC,    /* this node has no fresh state and no source: it searches for one */
	BH__PLATFORM_SYNC_RESYNCED,       /* this node has fresh state again */
	BH__PLATFORM_SYNC_TOOK_OVER,   /* this node reads the platform for all, since no other reader is known */
	BH__PLATFORM_SYNC_READ_RESENT, /* a platform read was not answered in time and was sent again */
	BH__PLATFORM_SYNC_EVENT_COUNT
} BH__PlatformSyncEvent;

extern const char *const BH__PlatformSyncEventString[]; /* names of the events in the log */

/* Callbacks to the gateway. */
typedef struct BH__PlatformSyncPort {
	/* Sends a message to a node. */
	void (*send)(struct BH__PlatformSyncPort *port, uint64_t node_id, BH__Message *m);
	/* Reads the configuration from the platform. Does nothing while such a read is in progress. */
	void (*read_configuration)(struct BH__PlatformSyncPort *port);
	/* Reads the endpoints from the platform, with a time-out of `limit_us`, or the usual time-out if that is
	 * 0. Does nothing while such a read is in progress. Its end is reported by
	 * bh__platform_sync_note_read_answered() or bh__platform_sync_note_read_failed(). */
	void (*read_endpoints)(struct BH__PlatformSyncPort *port, uint64_t limit_us);
	/* Sends the endpoints read that is in progress once more. The first answer ends the read; without an
	 * answer it still ends at its original time-out. Returns false if it cannot be sent again. */
	bool (*resend_endpoints_read)(struct BH__PlatformSyncPort *port);
	/* Sets whether the platform is to report a change of the configuration at once, without a read. */
	void (*watch_configuration)(struct BH__PlatformSyncPort *port, bool wanted);
	/* Returns the state of the configuration that the node holds. */
	const BH__ConfigurationState *(*get_configuration)(struct BH__PlatformSyncPort *port);
	/* Returns the text of that configuration. */
	const char *(*get_configuration_text)(struct BH__PlatformSyncPort *port);
	/* Applies a configuration received from another node, which a platform read begun at `platform_read_us`
	 * returned. Returns false if it is invalid. */
	bool (*take_configuration)(struct BH__PlatformSyncPort *port, const char *text,
							   uint64_t platform_read_us);
	/* Records that another node's platform read, begun at `platform_read_us`, showed the held `version` to be
	 * the newest. */
	void (*confirm_configuration)(struct BH__PlatformSyncPort *port, uint64_t version,
								  uint64_t platform_read_us);
	/* Reports that endpoints or hall drain states received from another node are merged into the registry. */
	void (*merged)(struct BH__PlatformSyncPort *port);
	/* Logs an event that concerns node `node_id`. */
	void (*report_event)(struct BH__PlatformSyncPort *port, BH__PlatformSyncEvent event, uint64_t node_id);
	/* Logs the endpoints received in `m`. Before that the registry held `was_count` endpoints. */
	void (*report_received)(struct BH__PlatformSyncPort *port, const BH__Message *m, unsigned was_count);
} BH__PlatformSyncPort;

/* Age and origin of a node's platform state, for operators. Times are in microseconds. */
typedef struct {
	uint64_t endpoints_as_of_us;    /* start time of the platform read whose endpoints the node holds; 0: it
									   holds none */
	BH__StoreVersion store_version; /* version of the store as of which they are known */
	uint64_t out_of_sync_since_us;  /* when the node began to search for a source; 0: it does not search */
	uint64_t source_node;           /* id of the node's source; its own id: it reads the platform */
	uint64_t next_own_read_us;      /* time of its next own read while it searches; 0: not searching */
} BH__PlatformSyncStatus;

typedef struct {
	uint64_t endpoint_drain_ms;     /* time limit for all nodes to stop using an endpoint that leaves */
	uint64_t configuration_ms;      /* time limit for a configuration to be in force on all nodes */
	double unavailable_reads_per_s; /* platform reads per second of all nodes together while the platform is
								unavailable */
	uint64_t random_seed;           /* seed of this node's random times; differs by node */
} BH__PlatformSyncOptions;

typedef struct BH__PlatformSync BH__PlatformSync;

BH__PlatformSync *bh__platform_sync_new(BH__PlatformSyncPort *port, const BH__PlatformSyncOptions *options,
										const BH__Members *members, BH__Registry *registry);
void bh__platform_sync_delete(BH__PlatformSync *s);
void bh__platform_sync_set_options(BH__PlatformSync *s, const BH__PlatformSyncOptions *options);
void bh__platform_sync_set_notice_time(BH__PlatformSync *s, uint64_t notice_us);
void bh__platform_sync_process_tick(BH__PlatformSync *s, uint64_t now_us);
void bh__platform_sync_process_ask(BH__PlatformSync *s, const BH__Message *ask, uint64_t now_us);
void bh__platform_sync_process_reader(BH__PlatformSync *s, const BH__Message *m, uint64_t now_us);
void bh__platform_sync_process_answer(BH__PlatformSync *s, const BH__Message *m, uint64_t now_us);
void bh__platform_sync_process_update(BH__PlatformSync *s, uint64_t now_us);
void bh__platform_sync_note_read_answered(BH__PlatformSync *s, uint64_t sent_us, uint64_t now_us);
void bh__platform_sync_note_read_failed(BH__PlatformSync *s, uint64_t sent_us, uint64_t timeout_us,
										uint64_t now_us);
bool bh__platform_sync_process_list_page(BH__PlatformSync *s, uint64_t now_us);
void bh__platform_sync_note_list_abandoned(BH__PlatformSync *s);
BH__PlatformSyncStatus bh__platform_sync_get_status(const BH__PlatformSync *s);
uint64_t bh__platform_sync_get_as_of_us(const BH__PlatformSync *s);
uint64_t bh__platform_sync_get_gone_at_us(const BH__PlatformSync *s, uint64_t now_us);

#endif
