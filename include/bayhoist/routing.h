/* SPDX-License-Identifier: BSD-3-Clause */
/* Routing of HTTP requests: which service a host and path lead to, how a request may be treated, who owns an
 * API key, and the limits on what callers send. A BH__Routing is one version of that; it never changes once
 * it is sealed, and requests under way keep a reference to the version that they began with. */
#ifndef BAYHOIST_ROUTING_H
#define BAYHOIST_ROUTING_H

#include <glib.h>
#include "bayhoist/engine_model.h"

#define BH__SPLIT_MAX 8 /* most services that one route spreads over */

typedef enum {
	BH__REPEAT_FREELY, /* may run any number of times */
	BH__REPEAT_NEVER,  /* at most once */
	BH__REPEAT_RESUME  /* a stream: may go on at another endpoint after the last event that was delivered */
} BH__Repeat;

extern const char *const BH__RepeatString[];

typedef struct {
	char service[BH__NAME_LEN];
	uint32_t weight;
} BH__RouteTarget;

typedef struct {
	char name[BH__NAME_LEN];
	char *host;
	char *path_prefix; /* begins and ends with a slash */
	BH__Repeat repeat;
	bool streams;          /* the answer is a series of events */
	bool needs_no_key;     /* requests without an API key are served */
	uint32_t timeout_ms;   /* longest time that a request is held */
	uint32_t target_ms;    /* time to the answer, or its first event, that callers expect */
	uint32_t event_gap_ms; /* longest pause between events that callers expect; 0: not said */
	uint32_t priority;     /* 0 is the most urgent */
	uint32_t max_attempts; /* most endpoints that one request may be sent to */
	unsigned target_count;
	BH__RouteTarget target[BH__SPLIT_MAX];
} BH__RouteRule;

typedef struct {
	char name[BH__NAME_LEN];
	char *health_path;
	uint32_t max_connections; /* that one endpoint takes from all callers together */
	double cold_per_s; /* requests that one bears a second while it is cold, of all nodes; 0: any number */
	bool is_engine;
	BH__EngineModel engine; /* if it is one */
} BH__ServiceSpec;

typedef struct {
	char name[BH__NAME_LEN];
	bool has_priority;
	uint32_t priority; /* goes before the route's */
} BH__KeyOwner;

/* Limits on what a caller sends and how long it takes over it. */
typedef struct {
	uint64_t max_header_bytes;
	uint64_t max_body_bytes;
	uint64_t header_timeout_ms;
	uint64_t idle_timeout_ms;
} BH__RequestLimits;

typedef struct BH__Routing BH__Routing;

/* Building; the objects handed over belong to the routing afterwards. */
BH__Routing *bh__routing_new(uint64_t version);
void bh__routing_add_rule(BH__Routing *r, BH__RouteRule *rule);
void bh__routing_add_service(BH__Routing *r, BH__ServiceSpec *service);
void bh__routing_add_owner(BH__Routing *r, const BH__KeyOwner *owner, char **keys);
void bh__routing_set_limits(BH__Routing *r, const BH__RequestLimits *limits);
bool bh__routing_seal(BH__Routing *r, GError **error);
BH__RouteRule *bh__route_rule_new(void);
void bh__route_rule_free(BH__RouteRule *rule);
BH__ServiceSpec *bh__service_spec_new(void);
void bh__service_spec_free(BH__ServiceSpec *service);

/* Use. */
BH__Routing *bh__routing_ref(BH__Routing *r);
void bh__routing_unref(BH__Routing *r);
uint64_t bh__routing_get_version(const BH__Routing *r);
const BH__RequestLimits *bh__routing_get_limits(const BH__Routing *r);
bool bh__routing_has_owners(const BH__Routing *r);
const BH__RouteRule *bh__routing_match(const BH__Routing *r, const char *host, const char *path);
const BH__KeyOwner *bh__routing_find_owner(const BH__Routing *r, const char *key);
const BH__ServiceSpec *bh__routing_find_service(const BH__Routing *r, const char *name);
unsigned bh__routing_get_service_count(const BH__Routing *r);
const BH__ServiceSpec *bh__routing_get_service(const BH__Routing *r, unsigned index);
const char *bh__route_rule_pick_service(const BH__RouteRule *rule, uint64_t request_hash);

#endif
