/* SPDX-License-Identifier: BSD-3-Clause */
/* One node's part in sharing what the platform says: when it looks at the platform itself, whom it asks
 * (source.h), and what it answers and takes. What it does not know of the gateway and the platform it asks
 * its port. No I/O, no clock of its own. */
#ifndef BAYHOIST_LOOKS_H
#define BAYHOIST_LOOKS_H

#include "bayhoist/members.h"
#include "bayhoist/message.h"
#include "bayhoist/outage.h"
#include "bayhoist/registry.h"

/* What a node did or found, for the log. */
typedef enum {
	BH__LOOKS_ASKS,          /* it asks another node from now on */
	BH__LOOKS_READS,         /* it reads the platform for others */
	BH__LOOKS_FOUND_STALE,   /* the node that it asked knows nothing fresh */
	BH__LOOKS_FOUND_SILENT,  /* that node does not answer */
	BH__LOOKS_FOUND_DAMAGED, /* a node told a configuration that cannot be unpacked */
	BH__LOOKS_LOST,          /* it knows nothing fresh, and finds nobody who does: it searches */
	BH__LOOKS_FOUND,         /* it knows what the platform says again */
	BH__LOOKS_TOOK_OVER,     /* it reads the platform for all, since nobody else is known to */
	BH__LOOKS_LOOKED_AGAIN,  /* its look was not answered for long, and was sent again */
	BH__LOOKS_EVENT_COUNT
} BH__LooksEvent;

extern const char *const BH__LooksEventString[];

/* The configuration that the node holds. */
typedef struct {
	uint64_t version;   /* 0: none */
	uint64_t looked_us; /* when the look was begun that last showed it to be the newest */
	uint64_t none_us;   /* when the look was begun that last showed that there is none yet */
} BH__LooksConfiguration;

typedef struct BH__LooksPort {
	void (*send)(struct BH__LooksPort *port, uint64_t node_id, BH__Message *m);
	/* Looks at the platform; one that is under way is not begun again. The end of one at endpoints is told by
	 * bh__looks_note_answered() or bh__looks_note_lost(). */
	void (*look_at_configuration)(struct BH__LooksPort *port);
	/* `limit_us` is the longest that the answer may take; 0: as long as usual. */
	void (*look_at_endpoints)(struct BH__LooksPort *port, uint64_t limit_us);
	/* Sends the look at endpoints that is under way once more. The first answer ends it; without any it ends
	 * when it would have. Returns false if it can't be sent again. */
	bool (*look_at_endpoints_again)(struct BH__LooksPort *port);
	/* Sets whether a change of the configuration is to be heard of at once, without a look. */
	void (*watch_configuration)(struct BH__LooksPort *port, bool wanted);
	BH__LooksConfiguration (*get_configuration)(struct BH__LooksPort *port);
	const char *(*get_configuration_text)(struct BH__LooksPort *port);
	/* Takes a configuration from another node. Returns false if it is wrong. */
	bool (*take_configuration)(struct BH__LooksPort *port, const char *text, uint64_t looked_us);
	/* Another node's look has shown the configuration that is held to be the newest. */
	void (*confirm_configuration)(struct BH__LooksPort *port, uint64_t looked_us);
	/* The registry holds what another node told of endpoints. */
	void (*learnt)(struct BH__LooksPort *port);
	/* For the log: an event; and what was told of endpoints, of which `was_count` were known before. */
	void (*said)(struct BH__LooksPort *port, BH__LooksEvent event, uint64_t node_id);
	void (*was_told)(struct BH__LooksPort *port, const BH__Message *m, unsigned was_count);
} BH__LooksPort;

/* Where a node has its knowledge from, for operators. */
typedef struct {
	uint64_t known_us;      /* when the look was begun that it shows; 0: there is none */
	BH__Place place;        /* in the store's history */
	uint64_t lost_since_us; /* when it began to search; 0: it does not */
	uint64_t asked_node;    /* that it asks; itself: it reads the platform */
	uint64_t next_own_us;   /* when it looks itself, while it searches */
} BH__LooksStatus;

typedef struct {
	uint64_t endpoint_drain_ms; /* in which an endpoint that leaves is to be left by all */
	uint64_t configuration_ms;  /* in which a configuration is to be in force everywhere */
	double away_looks_per_s;    /* of all nodes together, at a platform that is away */
	uint64_t draw;              /* a number of this node's own, from which its random times come */
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
