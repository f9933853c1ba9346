/* SPDX-License-Identifier: BSD-3-Clause */
/* One node's part in sharing platform state among all nodes: when it reads the platform itself, which node it
 * asks (BH__Source), how it answers other nodes, and how it merges what they send. It reaches the gateway and
 * the platform through its port. It does no I/O and has no clock of its own. */
#ifndef BAYHOIST_LOOKS_H
#define BAYHOIST_LOOKS_H

#include "bayhoist/members.h"
#include "bayhoist/message.h"
#include "bayhoist/outage.h"
#include "bayhoist/registry.h"

/* Events for the log. */
typedef enum {
	BH__LOOKS_ASKS,          /* this node asks another source from now on */
	BH__LOOKS_READS,         /* this node reads the platform for others */
	BH__LOOKS_FOUND_STALE,   /* the source has no fresh state */
	BH__LOOKS_FOUND_SILENT,  /* the source does not answer */
	BH__LOOKS_FOUND_DAMAGED, /* another node sent a configuration that cannot be unpacked */
	BH__LOOKS_LOST,          /* this node has no fresh state and no source: it searches for one */
	BH__LOOKS_FOUND,         /* this node has fresh state again */
	BH__LOOKS_TOOK_OVER,     /* this node reads the platform for all, since no other reader is known */
	BH__LOOKS_LOOKED_AGAIN,  /* a platform read was not answered in time and was sent again */
	BH__LOOKS_EVENT_COUNT
} BH__LooksEvent;

extern const char *const BH__LooksEventString[]; /* names of the events in the log */

/* The configuration that the node holds. Times are start times of platform reads, in microseconds. */
typedef struct {
	uint64_t version;   /* 0: the node holds none */
	uint64_t looked_us; /* latest read that showed this version to be the newest; 0: none */
	uint64_t none_us;   /* latest read that showed that the platform has no configuration yet; 0: none */
} BH__LooksConfiguration;

/* Callbacks to the gateway. */
typedef struct BH__LooksPort {
	/* Sends a message to a node. */
	void (*send)(struct BH__LooksPort *port, uint64_t node_id, BH__Message *m);
	/* Reads the configuration from the platform. Does nothing while such a read is in progress. */
	void (*look_at_configuration)(struct BH__LooksPort *port);
	/* Reads the endpoints from the platform, with a time-out of `limit_us`, or the usual time-out if that is
	 * 0. Does nothing while such a read is in progress. Its end is reported by bh__looks_note_answered() or
	 * bh__looks_note_lost(). */
	void (*look_at_endpoints)(struct BH__LooksPort *port, uint64_t limit_us);
	/* Sends the endpoints read that is in progress once more. The first answer ends the read; without an
	 * answer it still ends at its original time-out. Returns false if it cannot be sent again. */
	bool (*look_at_endpoints_again)(struct BH__LooksPort *port);
	/* Sets whether the platform is to report a change of the configuration at once, without a read. */
	void (*watch_configuration)(struct BH__LooksPort *port, bool wanted);
	/* Returns the configuration that the node holds. */
	BH__LooksConfiguration (*get_configuration)(struct BH__LooksPort *port);
	/* Returns the text of that configuration. */
	const char *(*get_configuration_text)(struct BH__LooksPort *port);
	/* Applies a configuration received from another node, which a platform read begun at `looked_us`
	 * returned. Returns false if it is invalid. */
	bool (*take_configuration)(struct BH__LooksPort *port, const char *text, uint64_t looked_us);
	/* Records that another node's platform read, begun at `looked_us`, showed the held configuration to be
	 * the newest. */
	void (*confirm_configuration)(struct BH__LooksPort *port, uint64_t looked_us);
	/* Reports that endpoints or hall drain states received from another node are merged into the registry. */
	void (*learnt)(struct BH__LooksPort *port);
	/* Logs an event that concerns node `node_id`. */
	void (*said)(struct BH__LooksPort *port, BH__LooksEvent event, uint64_t node_id);
	/* Logs the endpoints received in `m`. Before that the registry held `was_count` endpoints. */
	void (*was_told)(struct BH__LooksPort *port, const BH__Message *m, unsigned was_count);
} BH__LooksPort;

/* Age and origin of a node's platform state, for operators. Times are in microseconds. */
typedef struct {
	uint64_t known_us; /* start time of the platform read whose endpoints the node holds; 0: it holds none */
	BH__Place place;   /* version of the store as of which they are known */
	uint64_t lost_since_us; /* when the node began to search for a source; 0: it does not search */
	uint64_t asked_node;    /* id of the node's source; its own id: it reads the platform */
	uint64_t next_own_us;   /* time of its next own platform read while it searches; 0: it does not search */
} BH__LooksStatus;

typedef struct {
	uint64_t endpoint_drain_ms; /* time limit for all nodes to stop using an endpoint that leaves */
	uint64_t configuration_ms;  /* time limit for a configuration to be in force on all nodes */
	double away_looks_per_s;    /* platform reads per second of all nodes together while the platform is
								   unavailable */
	uint64_t draw;              /* seed of this node's random times; differs by node */
} BH__LooksOptions;

typedef struct BH__Looks BH__Looks;

BH__Looks *bh__looks_new(BH__LooksPort *port, const BH__LooksOptions *options, const BH__Members *members,
						 BH__Registry *registry);
void bh__looks_delete(BH__Looks *l);
void bh__looks_set_options(BH__Looks *l, const BH__LooksOptions *options);
void bh__looks_process_tick(BH__Looks *l, uint64_t now_us);
void bh__looks_process_ask(BH__Looks *l, const BH__Message *m, uint64_t now_us);
void bh__looks_process_reader(BH__Looks *l, const BH__Message *m, uint64_t now_us);
void bh__looks_process_answer(BH__Looks *l, const BH__Message *m, uint64_t now_us);
void bh__looks_process_news(BH__Looks *l, uint64_t now_us);
void bh__looks_note_answered(BH__Looks *l, uint64_t sent_us, uint64_t now_us);
void bh__looks_note_lost(BH__Looks *l, uint64_t sent_us, uint64_t timeout_us, uint64_t now_us);
BH__LooksStatus bh__looks_get_status(const BH__Looks *l);
uint64_t bh__looks_get_known_us(const BH__Looks *l);
uint64_t bh__looks_get_gone_at_us(const BH__Looks *l, uint64_t now_us);

#endif
