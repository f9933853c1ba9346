/* SPDX-License-Identifier: BSD-3-Clause */
/* Endpoints that register themselves: what each said of itself, what was learned by using it, and the choice
 * among those of a plain service. An endpoint may start again under its id, and then holds nothing of before;
 * an address may come back under another id. News of endpoints carry the place in the store's history as of
 * which they hold (place.h). */
#ifndef BAYHOIST_REGISTRY_H
#define BAYHOIST_REGISTRY_H

#include <glib.h>
#include "bayhoist/endpoint_rate.h"
#include "bayhoist/store_version.h"
#include "bayhoist/types.h"

#define BH__TRIED_MAX 4  /* endpoints that one request keeps away from */
#define BH__HALLS_MAX 64 /* that are remembered to drain, or to have drained */

/* What an endpoint says of itself. */
typedef struct {
	char id[BH__NAME_LEN];
	char service[BH__NAME_LEN];
	char address[BH__ADDRESS_LEN];
	char hall[BH__NAME_LEN];
	uint32_t slots;         /* requests that it works on at a time */
	uint64_t born_ms;       /* time of day of its start, by its own clock; 0: not said */
	uint64_t cold_until_us; /* it bears few requests until then, by this node's clock; 0: it is not cold */
	bool draining;
} BH__EndpointEntry;

typedef enum {
	BH__USE_SERVED,   /* a whole answer */
	BH__USE_REFUSED,  /* it said that it did not run the request */
	BH__USE_FAILED,   /* no answer, a broken one, or a failure of its own */
	BH__USE_ABANDONED /* we ended it; says nothing of the endpoint */
} BH__Use;

extern const char *const BH__UseString[];

/* What is kept of an endpoint for good. Each field only grows, so that news may come in any order and more
 * than once. */
typedef struct {
	BH__StoreVersion gone;    /* latest place as of which its entry was gone; the start: never */
	uint64_t born_ms;         /* its latest start */
	BH__StoreVersion listed;  /* where that start last wrote its entry, as far as is known */
	bool drained;             /* some start has said that it leaves */
	uint64_t drained_born_ms; /* the latest that did */
} BH__EndpointPast;

/* A data hall that operators drain, or drained: its endpoints get no new work until they take that back. */
typedef struct {
	char name[BH__NAME_LEN];
	bool draining;
	BH__StoreVersion changed;    /* in the store's history, when that was last written or taken back */
	uint64_t since_us;           /* when this node learnt of it; not told */
	uint64_t ends_at_us;         /* when it ends unless it is written again; 0: it does not; not told */
	BH__StoreVersion ends_place; /* as of which it was not there; not told */
} BH__HallDrain;

/* What an endpoint has said of itself in answers, in its latest start, and whom this node has told. A leaving
 * is kept in the endpoint's past. */
typedef struct {
	bool said_leaving;          /* to this node */
	uint64_t leaving_told_node; /* the home that this node has told of that; 0: none */
	BH__AdvertisedLimit named;  /* limit, as far as this node has heard */
	uint64_t named_told_us;     /* when this node last told its home of that */
	bool spread_in_force;       /* what all were last told of the limit, as far as this node knows */
	double spread_per_s;
	uint64_t backoff_until_us; /* it wants nothing of this node until then */
	uint64_t
		overloaded_until_us; /* it has turned away requests of some node, and asked for backoff until then */
} BH__EndpointSignals;

typedef struct {
	uint64_t endpoint_id; /* hash of its id */
	BH__EndpointEntry entry;
	BH__EndpointPast past;
	BH__StoreVersion learnt; /* with which the last change of what is believed of it was learnt */
	BH__EndpointSignals signals;
	uint64_t gone_at_us;    /* 0: listed; otherwise it is to be taken as gone from then on */
	bool hall_drains;       /* the hall that it stands in */
	BH__EndpointRate rate;  /* counted here if this node is its home and nobody schedules its service */
	uint64_t full_until_us; /* its home grants nothing until then */
	uint64_t life;          /* differs for each start that was seen, under whichever id */
	uint32_t in_flight;     /* requests that this node has there */
	uint32_t reported;      /* requests that it said run or wait there, of all nodes */
	uint64_t reported_us;
	uint64_t set_aside_until_us;
	uint32_t failures;    /* one after another */
	double failure_share; /* of late uses, weighted */
} BH__RegisteredEndpoint;

/* What a node tells of an endpoint that it knows. */
typedef struct {
	BH__EndpointEntry entry;
	BH__EndpointPast past;
	uint64_t gone_in_us; /* if its entry is gone: until it is to be taken as gone */
	uint64_t cold_in_us; /* if it is cold: until it is not; the entry's own time is not told */
} BH__EndpointFact;

/* What a node knows of an endpoint that is gone. */
typedef struct {
	uint64_t endpoint_id;
	BH__EndpointPast past;
	BH__StoreVersion learnt;     /* as that of an endpoint; not told */
	BH__EndpointSignals signals; /* not told */
} BH__EndpointDeparture;

typedef struct BH__Registry BH__Registry;

BH__Registry *bh__registry_new(uint32_t seed);
void bh__registry_delete(BH__Registry *r);
uint64_t bh__registry_get_version(const BH__Registry *r);
BH__StoreVersion bh__registry_get_place(const BH__Registry *r);
BH__StoreVersion bh__registry_get_changed_place(const BH__Registry *r);
void bh__registry_set_place(BH__Registry *r, BH__StoreVersion store_version);
void bh__registry_begin_era(BH__Registry *r, BH__StoreVersion start);
BH__StoreVersion bh__registry_get_era_start(const BH__Registry *r);
bool bh__registry_put(BH__Registry *r, const BH__EndpointEntry *entry, BH__StoreVersion listed,
					  BH__StoreVersion as_of);
void bh__registry_remove(BH__Registry *r, uint64_t endpoint_id, BH__StoreVersion gone, uint64_t gone_at_us,
						 BH__StoreVersion as_of);
bool bh__registry_put_fact(BH__Registry *r, const BH__EndpointFact *f, BH__StoreVersion as_of,
						   uint64_t now_us);
void bh__registry_put_departure(BH__Registry *r, const BH__EndpointDeparture *d, BH__StoreVersion as_of);
bool bh__registry_note_leaving(BH__Registry *r, uint64_t endpoint_id, uint64_t born_ms);
void bh__registry_keep_only(BH__Registry *r, GHashTable *ids, BH__StoreVersion as_of, uint64_t gone_at_us);
bool bh__registry_list_changes(const BH__Registry *r, BH__StoreVersion since, uint64_t now_us, GArray *facts,
							   GArray *departures);
void bh__registry_add_fact(const BH__Registry *r, unsigned index, uint64_t now_us, GArray *facts);
void bh__registry_process_tick(BH__Registry *r, uint64_t now_us);
BH__RegisteredEndpoint *bh__registry_find(const BH__Registry *r, uint64_t endpoint_id);
BH__RegisteredEndpoint *bh__registry_find_address(const BH__Registry *r, const char *address);
unsigned bh__registry_get_count(const BH__Registry *r);
BH__RegisteredEndpoint *bh__registry_get(const BH__Registry *r, unsigned index);
void bh__registry_set_cold_rate(BH__Registry *r, const char *service, double per_s, uint64_t now_us);
bool bh__registered_endpoint_hear_limit(BH__RegisteredEndpoint *e, const BH__AdvertisedLimit *told,
										uint64_t now_us);
bool bh__registry_has_unlimited(const BH__Registry *r, const char *service, uint64_t now_us);
uint64_t bh__registry_get_taking_us(const BH__Registry *r, const char *service, uint64_t now_us);
bool bh__registered_endpoint_stays(const BH__RegisteredEndpoint *e, uint64_t now_us);
bool bh__registered_endpoint_is_usable(const BH__RegisteredEndpoint *e, uint64_t now_us);
bool bh__registered_endpoint_takes(const BH__RegisteredEndpoint *e, uint64_t now_us);
bool bh__registered_endpoint_hear_backoff(BH__RegisteredEndpoint *e, uint64_t until_us);
bool bh__registered_endpoint_hear_overload(BH__RegisteredEndpoint *e, uint64_t until_us, uint64_t now_us);
unsigned bh__registry_list_backoffs(const BH__Registry *r, const char *service, uint64_t now_us,
									uint64_t out[], unsigned max);
BH__RegisteredEndpoint *bh__registry_pick(BH__Registry *r, const char *service, const char *hall,
										  const uint64_t *tried, unsigned tried_count, bool again,
										  uint64_t now_us);
uint64_t bh__registry_note_start(BH__Registry *r, uint64_t endpoint_id);
void bh__registry_note_end(BH__Registry *r, uint64_t endpoint_id, uint64_t life, BH__Use use,
						   uint64_t now_us);
void bh__registry_note_load(BH__Registry *r, uint64_t endpoint_id, uint32_t running, uint32_t waiting,
							uint64_t now_us);

/* registry_halls.c */
bool bh__registry_put_hall(BH__Registry *r, const char *name, bool draining, BH__StoreVersion changed,
						   uint64_t now_us);
bool bh__registry_read_hall(BH__Registry *r, const char *name, BH__StoreVersion written, uint64_t now_us);
void bh__registry_keep_halls(BH__Registry *r, GHashTable *names, BH__StoreVersion as_of, uint64_t now_us);
bool bh__registry_is_hall_draining(const BH__Registry *r, const char *name);
unsigned bh__registry_get_hall_count(const BH__Registry *r);
const BH__HallDrain *bh__registry_get_hall(const BH__Registry *r, unsigned index);
uint64_t bh__registry_get_drained_since_us(const BH__Registry *r, const char *service, uint64_t now_us);
uint64_t bh__registry_get_halls_version(const BH__Registry *r);
bool bh__registry_knows_more_of_halls(const BH__Registry *r, const BH__HallDrain *hall, unsigned count);

#endif
