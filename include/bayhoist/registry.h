/* SPDX-License-Identifier: BSD-3-Clause */
/* The registry of endpoints that register themselves. It holds what each endpoint reports of itself and what
 * this node observes in using it, and selects an endpoint for services without a planner. An endpoint may
 * restart under the same id, which discards all state of its earlier incarnation; an address may reappear
 * under another id. Each endpoint update carries the version of the store's history as of which it holds
 * (store_version.h). */
#ifndef BAYHOIST_REGISTRY_H
#define BAYHOIST_REGISTRY_H

#include <glib.h>
#include "bayhoist/endpoint_rate.h"
#include "bayhoist/silence.h"
#include "bayhoist/store_version.h"
#include "bayhoist/types.h"

#define BH__TRIED_MAX 4  /* maximum number of already tried endpoints that a request avoids */
#define BH__HALLS_MAX 64 /* maximum number of halls whose drain state is kept */

/* The entry that an endpoint writes to describe itself. */
typedef struct {
	char id[BH__NAME_LEN];
	char service[BH__NAME_LEN];
	char address[BH__ADDRESS_LEN];
	char hall[BH__NAME_LEN];
	uint32_t slots;         /* requests that it processes concurrently */
	uint64_t born_ms;       /* wall-clock start time by its own clock; 0: not specified */
	uint64_t cold_until_us; /* time on this node's clock until which it is cold and accepts few requests; 0:
							   not cold */
	bool draining;
} BH__EndpointEntry;

typedef enum {
	BH__ENDPOINT_OUTCOME_SERVED,   /* a complete response */
	BH__ENDPOINT_OUTCOME_REFUSED,  /* the endpoint reported that it did not run the request */
	BH__ENDPOINT_OUTCOME_FAILED,   /* no response, an invalid one, or an endpoint error */
	BH__ENDPOINT_OUTCOME_ABANDONED /* this node or the caller ended the request; says nothing about the
									  endpoint */
} BH__EndpointOutcome;

extern const char *const BH__EndpointOutcomeString[];

/* The merged history of an endpoint. Each field only grows, so updates may arrive in any order and more than
 * once. */
typedef struct {
	BH__StoreVersion gone;    /* latest store version as of which its entry did not exist; zero: never */
	uint64_t born_ms;         /* start time of its latest incarnation */
	BH__StoreVersion listed;  /* latest known store version at which that incarnation wrote its entry */
	bool drained;             /* some incarnation has reported that it is leaving */
	uint64_t drained_born_ms; /* start time of the latest such incarnation */
} BH__EndpointHistory;

/* A data hall that operators drain or have drained. Endpoints in a draining hall get no new work until an
 * operator takes the drain back. */
typedef struct {
	char name[BH__NAME_LEN];
	bool draining;
	BH__StoreVersion changed; /* store version at which the drain was last written or taken back */
	uint64_t since_us; /* when this node received the latest change of `draining`; not sent to other nodes */
	uint64_t drained_after_us; /* the drain was written after this time; 0: unknown; not sent to other nodes
								*/
	uint64_t ends_at_us; /* when the drain ends unless it is written again; 0: it has no end; not sent to
							other nodes */
	BH__StoreVersion ends_version; /* store version without the drain; not sent to other nodes */
} BH__HallDrain;

#define BH__DEMAND_WINDOWS 2 /* times over which requests are counted */

/* Requests that this node has sent to an endpoint, as counts that decay (endpoint_demand.c). */
typedef struct {
	double count[BH__DEMAND_WINDOWS]; /* as of updated_us */
	uint64_t updated_us;              /* 0: none yet */
} BH__EndpointDemand;

/* Signals that the current incarnation of an endpoint sent in its responses, and which nodes this node has
 * notified. The history of the endpoint records that it is leaving. */
typedef struct {
	bool announced_leaving;         /* the endpoint has announced that it is leaving */
	uint64_t leaving_notified_node; /* home node that this node has notified of the leaving; 0: none */
	BH__AdvertisedLimit advertised; /* limit that the endpoint advertises, as known to this node */
	uint64_t limit_notified_us;     /* when this node last notified its home node of the limit; 0: never */
	bool broadcast_in_force; /* whether the limit last broadcast to all nodes, as known to this node, was in
							 force */
	double broadcast_per_s;
	uint64_t backoff_until_us;    /* this node sends it no requests until then; 0: no backoff */
	uint64_t overloaded_until_us; /* it rejected requests of some node and asked for backoff until then; 0:
									 never */
} BH__EndpointSignals;

typedef struct {
	uint64_t endpoint_id; /* hash of the endpoint's id */
	BH__EndpointEntry entry;
	BH__EndpointHistory history;
	BH__StoreVersion merged_version; /* store version with which the last visible change was merged */
	BH__EndpointSignals signals;
	uint64_t gone_at_us;            /* when the endpoint counts as gone; 0: it is listed */
	uint64_t left_after_us;         /* it began to leave, or its entry went, after this time; 0: unknown */
	bool is_hall_draining;          /* whether its hall is draining */
	bool is_out_of_reach;           /* whether this node has no way to its hall; not sent to other nodes */
	uint64_t hall_drained_after_us; /* the drain of its hall was written after this time; 0: unknown */
	BH__EndpointRate rate;          /* enforced here if this node is the home node of the endpoint and no node
									   schedules its service */
	uint64_t no_grant_until_us;     /* its home node grants no request until then; 0: grants are possible */
	uint64_t incarnation;           /* number of this incarnation, unique within the registry */
	BH__EndpointDemand demand;
	uint32_t in_flight;       /* requests that this node currently has at the endpoint */
	uint64_t in_use_since_us; /* since when it has had one; valid if `in_flight` */
	uint32_t reported; /* running and waiting requests of all nodes, as last reported by the endpoint */
	uint64_t reported_us;
	uint64_t ejected_until_us;
	uint32_t failures; /* consecutive failures */
	BH__Silence silence;
	uint64_t silence_probed_us; /* when it was last probed because a dispatch to it was silent; 0: never */
	double failure_share;       /* exponentially weighted share of failures in recent requests, 0 to 1 */
} BH__RegisteredEndpoint;

/* State of a listed endpoint as sent to other nodes. Times are relative, because the clocks of nodes differ.
 */
typedef struct {
	BH__EndpointEntry entry;
	BH__EndpointHistory history;
	uint64_t gone_in_us; /* time until the endpoint counts as gone, if its entry is gone; else 0 */
	uint64_t cold_in_us; /* time until the endpoint is no longer cold; 0: it is not cold. The entry's
							cold_until_us is not sent. */
} BH__EndpointRecord;

/* State of an endpoint that is gone. */
typedef struct {
	uint64_t endpoint_id;
	BH__EndpointHistory history;
	BH__StoreVersion merged_version; /* store version of the last merged change; not sent to other nodes */
	BH__EndpointSignals signals;     /* not sent to other nodes */
} BH__EndpointDeparture;

/* Estimates of the requests per second that all nodes together send to the endpoints of a service. */
typedef struct {
	double mean_per_s; /* to an endpoint on average */
	double max_per_s;  /* to the endpoint that gets most, at least the average */
} BH__ServiceDemand;

typedef struct BH__Registry BH__Registry;

BH__Registry *bh__registry_new(uint32_t seed);
void bh__registry_delete(BH__Registry *r);
uint64_t bh__registry_get_version(const BH__Registry *r);
BH__StoreVersion bh__registry_get_store_version(const BH__Registry *r);
BH__StoreVersion bh__registry_get_changed_store_version(const BH__Registry *r);
void bh__registry_set_store_version(BH__Registry *r, BH__StoreVersion store_version);
void bh__registry_begin_era(BH__Registry *r, BH__StoreVersion start);
BH__StoreVersion bh__registry_get_era_start(const BH__Registry *r);
bool bh__registry_put(BH__Registry *r, const BH__EndpointEntry *entry, BH__StoreVersion listed,
					  BH__StoreVersion as_of);
void bh__registry_remove(BH__Registry *r, uint64_t endpoint_id, BH__StoreVersion gone, uint64_t gone_at_us,
						 BH__StoreVersion as_of);
bool bh__registry_put_record(BH__Registry *r, const BH__EndpointRecord *f, BH__StoreVersion as_of,
							 uint64_t now_us);
void bh__registry_put_departure(BH__Registry *r, const BH__EndpointDeparture *d, BH__StoreVersion as_of);
bool bh__registry_note_leaving(BH__Registry *r, uint64_t endpoint_id, uint64_t born_ms);
void bh__registry_retain_only(BH__Registry *r, GHashTable *ids, BH__StoreVersion as_of, uint64_t gone_at_us);
bool bh__registry_list_changes(const BH__Registry *r, BH__StoreVersion since, uint64_t now_us,
							   GArray *records, GArray *departures);
void bh__registry_add_record(const BH__Registry *r, unsigned index, uint64_t now_us, GArray *records);
void bh__registry_process_tick(BH__Registry *r, uint64_t now_us);
BH__RegisteredEndpoint *bh__registry_find(const BH__Registry *r, uint64_t endpoint_id);
BH__RegisteredEndpoint *bh__registry_find_address(const BH__Registry *r, const char *address);
unsigned bh__registry_get_count(const BH__Registry *r);
BH__RegisteredEndpoint *bh__registry_get(const BH__Registry *r, unsigned index);
uint64_t bh__registry_set_cold_rate(BH__Registry *r, const char *service, double per_s, uint64_t now_us);
bool bh__registered_endpoint_receive_limit(BH__RegisteredEndpoint *e, const BH__AdvertisedLimit *update,
										   uint64_t now_us);
bool bh__registry_has_unlimited(const BH__Registry *r, const char *service, uint64_t now_us);
uint64_t bh__registry_get_available_us(const BH__Registry *r, const char *service, uint64_t now_us);
bool bh__registered_endpoint_is_active(const BH__RegisteredEndpoint *e, uint64_t now_us);
bool bh__registered_endpoint_is_usable(const BH__RegisteredEndpoint *e, uint64_t now_us);
bool bh__registered_endpoint_accepts_requests(const BH__RegisteredEndpoint *e, uint64_t now_us);
bool bh__registered_endpoint_receive_backoff(BH__RegisteredEndpoint *e, uint64_t until_us);
bool bh__registered_endpoint_receive_overload(BH__RegisteredEndpoint *e, uint64_t until_us, uint64_t now_us);
unsigned bh__registry_list_backoffs(const BH__Registry *r, const char *service, uint64_t now_us,
									uint64_t out[], unsigned max);
BH__RegisteredEndpoint *bh__registry_pick(BH__Registry *r, const char *service, const char *hall,
										  const uint64_t *tried, unsigned tried_count, bool again,
										  uint64_t now_us);
BH__RegisteredEndpoint *bh__registry_pick_once(BH__Registry *r, const char *service, const char *hall,
											   const uint64_t *tried, unsigned tried_count, uint64_t now_us);
uint64_t bh__registry_note_start(BH__Registry *r, uint64_t endpoint_id, uint64_t now_us);
void bh__registry_note_end(BH__Registry *r, uint64_t endpoint_id, uint64_t incarnation,
						   BH__EndpointOutcome use, uint64_t now_us);
void bh__registry_withdraw_failures(BH__Registry *r);
void bh__registry_note_load(BH__Registry *r, uint64_t endpoint_id, uint32_t running, uint32_t waiting,
							uint64_t now_us);

/* endpoint_demand.c */
void bh__registry_set_node_count(BH__Registry *r, unsigned nodes);
void bh__endpoint_demand_note_start(BH__EndpointDemand *d, uint64_t now_us);
BH__ServiceDemand bh__registry_get_demand(const BH__Registry *r, const char *service, uint64_t now_us);
double bh__registry_get_endpoint_demand_per_s(const BH__Registry *r, const BH__ServiceDemand *s,
											  const BH__RegisteredEndpoint *e, uint64_t now_us);

/* registry_halls.c */
bool bh__registry_put_hall(BH__Registry *r, const char *name, bool draining, BH__StoreVersion changed,
						   uint64_t now_us);
bool bh__registry_read_hall(BH__Registry *r, const char *name, BH__StoreVersion written, uint64_t now_us);
void bh__registry_retain_halls(BH__Registry *r, GHashTable *names, BH__StoreVersion as_of, uint64_t now_us);
bool bh__registry_is_hall_draining(const BH__Registry *r, const char *name);
unsigned bh__registry_get_hall_count(const BH__Registry *r);
const BH__HallDrain *bh__registry_get_hall(const BH__Registry *r, unsigned index);
uint64_t bh__registry_get_drained_since_us(const BH__Registry *r, const char *service, uint64_t now_us);
uint64_t bh__registry_get_halls_version(const BH__Registry *r);
bool bh__registry_has_newer_halls(const BH__Registry *r, const BH__HallDrain *hall, unsigned count);

#endif
