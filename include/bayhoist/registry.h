/* SPDX-License-Identifier: BSD-3-Clause */
/* Endpoints that register themselves: what each said of itself, what was learned by using it, and the choice
 * among those of a plain service. An endpoint may start again under its id, and then holds nothing of before;
 * an address may come back under another id. */
#ifndef BAYHOIST_REGISTRY_H
#define BAYHOIST_REGISTRY_H

#include <glib.h>
#include "bayhoist/types.h"

#define BH__TRIED_MAX 4 /* endpoints that one request keeps away from */

/* What an endpoint says of itself. */
typedef struct {
	char id[BH__NAME_LEN];
	char service[BH__NAME_LEN];
	char address[BH__ADDRESS_LEN];
	char hall[BH__NAME_LEN];
	uint32_t slots;   /* requests that it works on at a time */
	uint64_t born_ms; /* time of day of its start, by its own clock; 0: not said */
	bool draining;
} BH__EndpointEntry;

typedef enum {
	BH__USE_SERVED,   /* a whole answer */
	BH__USE_REFUSED,  /* it said that it did not run the request */
	BH__USE_FAILED,   /* no answer, a broken one, or a failure of its own */
	BH__USE_ABANDONED /* we ended it; says nothing of the endpoint */
} BH__Use;

extern const char *const BH__UseString[];

typedef struct {
	uint64_t endpoint_id; /* hash of its id */
	BH__EndpointEntry entry;
	uint64_t gone_at_us;      /* 0: listed; otherwise it is to be taken as gone from then on */
	bool listed;              /* in the list that is being read */
	uint64_t changed_version; /* of the registry, with the last change to the entry */
	uint64_t life;            /* grows with each start that was seen under its id */
	uint32_t in_flight;       /* requests that this node has there */
	uint32_t reported;        /* requests that it said run or wait there, of all nodes */
	uint64_t reported_us;
	uint64_t set_aside_until_us;
	uint32_t failures;    /* one after another */
	double failure_share; /* of late uses, weighted */
} BH__RegisteredEndpoint;

typedef struct BH__Registry BH__Registry;

BH__Registry *bh__registry_new(uint32_t seed);
void bh__registry_delete(BH__Registry *r);
uint64_t bh__registry_get_version(const BH__Registry *r);
bool bh__registry_put(BH__Registry *r, const BH__EndpointEntry *entry);
void bh__registry_remove(BH__Registry *r, uint64_t endpoint_id, uint64_t gone_at_us);
bool bh__registry_list_changes(const BH__Registry *r, uint64_t since_version, GArray *changed, GArray *gone);
void bh__registry_begin_list(BH__Registry *r);
void bh__registry_end_list(BH__Registry *r, uint64_t gone_at_us);
void bh__registry_process_tick(BH__Registry *r, uint64_t now_us);
BH__RegisteredEndpoint *bh__registry_find(const BH__Registry *r, uint64_t endpoint_id);
BH__RegisteredEndpoint *bh__registry_find_address(const BH__Registry *r, const char *address);
unsigned bh__registry_get_count(const BH__Registry *r);
BH__RegisteredEndpoint *bh__registry_get(const BH__Registry *r, unsigned index);
bool bh__registered_endpoint_is_usable(const BH__RegisteredEndpoint *e, uint64_t now_us);
BH__RegisteredEndpoint *bh__registry_pick(BH__Registry *r, const char *service, const char *hall,
										  const uint64_t *tried, unsigned tried_count, bool again,
										  uint64_t now_us);
uint64_t bh__registry_note_start(BH__Registry *r, uint64_t endpoint_id);
void bh__registry_note_end(BH__Registry *r, uint64_t endpoint_id, uint64_t life, BH__Use use,
						   uint64_t now_us);
void bh__registry_note_load(BH__Registry *r, uint64_t endpoint_id, uint32_t running, uint32_t waiting,
							uint64_t now_us);

#endif
