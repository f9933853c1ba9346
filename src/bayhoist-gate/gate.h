/* SPDX-License-Identifier: BSD-3-Clause */
/* bayhoist-gate: the HTTP gateway of an entry VM. Callers' connections are in inbound.c, those to endpoints
 * in outbound.c, the life of one request in call.c, the nodes' work together in cluster.c, and what the
 * platform wants in a binding behind port.h. One loop on one thread. */
#ifndef BAYHOIST_GATE_H
#define BAYHOIST_GATE_H

#include <event2/event.h>
#include <event2/http.h>
#include <event2/listener.h>
#include <glib.h>
#include "bayhoist/answer_time.h"
#include "bayhoist/caller_time.h"
#include "bayhoist/retry_state.h"
#include "bayhoist/fingerprint.h"
#include "bayhoist/histogram.h"
#include "bayhoist/startup_state.h"
#include "bayhoist/platform_sync.h"
#include "bayhoist/members.h"
#include "bayhoist/planner.h"
#include "bayhoist/registry.h"
#include "bayhoist/memory_budget.h"
#include "bayhoist/routing.h"
#include "peers.h"
#include "port.h"
#include "settings.h"

typedef struct Call Call;
typedef struct Inbound Inbound;
typedef struct Outbound Outbound;
typedef struct Cluster Cluster;
typedef struct PlatformSync PlatformSync;
typedef struct Crashes Crashes;

/* Why a request ended, for the counters. */
typedef enum { CALL_SERVED, CALL_REFUSED, CALL_FAILED, CALL_CALLER_GONE, CALL_OUTCOME_COUNT } CallOutcome;

typedef struct {
	uint64_t requests;
	uint64_t outcomes[CALL_OUTCOME_COUNT];
	uint64_t dispatches;
	uint64_t sending_ends[BH__DISPATCH_END_COUNT];
	uint64_t repeats;
	uint64_t resumes;
	uint64_t local_grants; /* decided without the scheduler */
	uint64_t denied_keys;
	uint64_t no_route;
	uint64_t stale_refusals; /* because the routing was too old to trust a key */
	uint64_t directory_answers;
	uint64_t bad_frames; /* answers that were none */
	uint64_t limit_changes;
	uint64_t signals[BH__SIGNAL_KIND_COUNT]; /* answers that gave one */
	uint64_t unreadable_signals[BH__SIGNAL_KIND_COUNT];
	BH__Histogram grant_wait;
	BH__Histogram first_event[BH__SIZE_CLASSES];
	BH__Histogram whole;
} GateCounters;

/* How long the callers of one route wait, and its answers take. */
typedef struct {
	BH__CallerTime caller;
	BH__AnswerTime answer[BH__SIZE_CLASSES];
} RouteTimes;

struct Gate {
	const GatePort *port;
	GateSettings settings;
	struct event_base *base;
	void *binding; /* the platform binding's own state */
	Cluster *cluster;
	PlatformSync *looks;
	Crashes *crashes;
	BH__Routing *routing;       /* NULL: not known yet */
	char *routing_text;         /* that it was decoded from */
	uint64_t routing_looked_us; /* when the look was begun that last showed it to be the newest */
	uint64_t no_routing_us;     /* when the look was begun that last showed that there is none yet */
	BH__Registry *registry;
	BH__StartupState knowledge;  /* what was learnt since the start */
	bool told_informed;          /* calls that waited for all of that have begun */
	uint64_t registry_seen;      /* version that the planners follow */
	uint64_t halls_seen;         /* version of what was logged of halls that drain */
	BH__StoreVersion place_seen; /* in the store's history, as far as the registry showed it */
	GHashTable *budgets;         /* BH__ServiceRetryBudget by service name */
	GHashTable *route_times;     /* RouteTimes by route name */
	GHashTable *calls;           /* set of live Call */
	GHashTable *unknown_headers; /* uint64_t, how often an endpoint's answer had one, by its name */
	GHashTable *inbounds;        /* set of open Inbound */
	BH__MemoryBudget room;       /* of the memory that is kept for callers and endpoints */
	struct evconnlistener *listener;
	struct evhttp *web[3]; /* directory, readiness, control */
	GPtrArray *own_events;
	GateCounters counters;
	uint64_t boot_id;
	uint64_t started_us;
	uint64_t leaving_since_us; /* 0: not leaving */
	bool is_ending;            /* its last answers go out */
	uint64_t stop_at_us;       /* when the node ends at the latest, if it is leaving */
};

/* main.c */
bool gate_is_ready(const Gate *g, uint64_t now_us);
bool gate_knows_endpoints(const Gate *g);
bool gate_trusts_keys(const Gate *g, uint64_t now_us);
void gate_set_routing(Gate *g, BH__Routing *routing, const char *text, uint64_t looked_us);
void gate_note_no_configuration(Gate *g, uint64_t looked_us);
void gate_note_configuration_asked(Gate *g, uint64_t answer_us);
void gate_note_configuration_lost(Gate *g);
void gate_note_look(Gate *g, uint64_t looked_us);
void gate_note_registry(Gate *g, uint64_t looked_us);
void gate_presume_node(Gate *g, const char *duty, const BH__MemberInfo *info);
void gate_note_duties(Gate *g);
void gate_learn_held(Gate *g, const BH__QuarantineEntry *aged);
BH__ServiceRetryBudget *gate_get_budget(Gate *g, const char *service);

/* inbound.c */
typedef struct {
	const char *method;
	char *target; /* path and query, as the caller sent them */
	char *host;
	GString *headers; /* that go on as they are, "name: value" lines */
	GByteArray *body;
	RequestMeta meta;
	uint64_t arrived_us;
} InboundRequest;

bool inbounds_listen(Gate *g);
void inbounds_free(Gate *g);
const InboundRequest *inbound_get_request(const Inbound *in);
void inbound_answer_own(Inbound *in, int status, uint64_t retry_after_ms, const char *code,
						const char *message);
void inbound_answer_whole(Inbound *in, int status, const char *reason, const GString *headers,
						  struct evbuffer *body);
void inbound_answer_begin(Inbound *in, int status, const char *reason, const GString *headers);
bool inbound_answer_more(Inbound *in, const char *data, size_t len);
uint64_t inbounds_get_answer_bytes(const Gate *g);
size_t inbound_get_answer_max(const Gate *g, size_t max);
void inbound_answer_end(Inbound *in);
void inbound_break_off(Inbound *in);

/* outbound.c */
typedef enum {
	OUTBOUND_DONE,        /* a whole answer */
	OUTBOUND_UNREACHABLE, /* no connection came up */
	OUTBOUND_BROKEN       /* the connection or the answer broke */
} OutboundEnd;

typedef struct {
	int status;
	char reason[64];
	AnswerMeta meta;
	GString *headers; /* that go on as they are */
	bool is_event_stream;
} OutboundHead;

typedef struct {
	void (*on_head)(void *ctx, const OutboundHead *head);
	void (*on_body)(void *ctx, const char *data, size_t len);
	void (*on_end)(void *ctx, OutboundEnd end); /* once; the outbound is gone afterwards */
} OutboundCallbacks;

Outbound *outbound_start(Gate *g, const char *address, struct evbuffer *request, const OutboundCallbacks *cb,
						 void *ctx);
void outbound_cancel(Outbound *o);
void outbound_pause(Outbound *o, bool paused);
bool outbound_is_connected(const Outbound *o);

/* call.c */

/* A call's dealings with the scheduler of its service. */
typedef struct {
	BH__Ask ask;         /* ask_id 0: none is out */
	uint64_t asked_node; /* that was asked, or that granted */
	BH__Grant grant;     /* grant_id 0: none is held */
	uint64_t granted_us;
	char service[BH__NAME_LEN];
} CallPlace;

Call *call_start(Gate *g, Inbound *in);
void call_on_caller_gone(Call *c);
void call_on_drained(Call *c);
void call_on_grant(Call *c);
void call_on_refuse(Call *c, BH__Reason reason, uint64_t retry_after_ms);
void call_on_queued(Call *c);
void call_on_permit(Call *c, bool granted, uint64_t wait_us);
void call_on_scheduler_lost(Call *c);
CallPlace *call_get_place(Call *c);
void calls_process_news(Gate *g);
void calls_process_held(Gate *g, const BH__Fingerprint *f);
void calls_stop(Gate *g);
void calls_free(Gate *g);

/* memory.c */
typedef struct MemoryHold MemoryHold;
typedef void (*MemoryDone)(void *ctx, bool held);

MemoryHold *memory_hold_new(Gate *g, const BH__Grant *grant, MemoryDone done, void *ctx);
const char *memory_hold_get_id(const MemoryHold *h, uint64_t endpoint_id);
void memory_hold_note_received(MemoryHold *h);
void memory_hold_delete(MemoryHold *h);
void memory_free_abandoned(Gate *g, const BH__Grant *grant);

/* cluster.c */
bool cluster_start(Gate *g);
void cluster_free(Cluster *c);
void cluster_add_seed(Cluster *c, const char *peer_address);
void cluster_join(Cluster *c);
void cluster_add_unconfirmed(Cluster *c, const BH__MemberInfo *info);
void cluster_process_early(Cluster *c);
bool cluster_awaits(Cluster *c, uint64_t node_id);
void cluster_leave(Cluster *c, uint64_t now_us);
void cluster_apply_routing(Cluster *c, uint64_t now_us);
void cluster_apply_registry(Cluster *c, uint64_t now_us);
void cluster_apply_era(Cluster *c);
const BH__Members *cluster_get_members(const Cluster *c);
BH__Members *cluster_get_mutable_members(Cluster *c);
unsigned cluster_count_nodes(const Cluster *c);
void cluster_ask(Cluster *c, Call *call);
void cluster_resend_ask(Cluster *c, Call *call);
void cluster_ask_locally(Cluster *c, Call *call);
void cluster_drop_ask(Cluster *c, Call *call);
void cluster_notify_progress(Cluster *c, Call *call);
void cluster_notify_iteration(Cluster *c, Call *call, uint64_t pass_us);
void cluster_release(Cluster *c, Call *call, BH__ReleaseKind kind, uint64_t failed_endpoint);
void cluster_write_status(const Cluster *c, struct evbuffer *out);

void cluster_send(Cluster *c, uint64_t node_id, BH__Message *m);

/* signals.c */

/* The answer that gave an endpoint's signals. */
typedef struct {
	uint64_t endpoint_id;
	uint64_t incarnation; /* of the endpoint when the request was sent, see bh__registry_note_start() */
	uint64_t sent_us;
	uint64_t received_us;
	int status;
	bool is_served;         /* the endpoint ran what was asked: a limit that is not there is none any more */
	const char *request_id; /* for the log */
} AnswerOrigin;

void signals_note_answer(Gate *g, const AnswerOrigin *o, const AnswerMeta *m);
void signals_note_unknown(Gate *g, const char *header);
void signals_write_status(const Gate *g, struct evbuffer *out);
struct json_object *signals_describe(const Gate *g);

/* limits.c */
void cluster_ask_permit(Cluster *c, Call *call, const BH__RegisteredEndpoint *e, uint64_t patience_us);

/* looks.c */
PlatformSync *platform_sync_new(Gate *g);
void platform_sync_delete(PlatformSync *l);
BH__PlatformSync *platform_sync_get(const PlatformSync *l);
void platform_sync_apply_settings(PlatformSync *l);
void platform_sync_write_status(const PlatformSync *l, struct evbuffer *out);

/* halls.c */
void halls_log_changes(Gate *g);
void halls_write_status(const Gate *g, struct evbuffer *out);
struct json_object *halls_describe(const Gate *g);

/* web.c */
bool web_start(Gate *g);
void web_stop(Gate *g);
unsigned web_list_caller_addresses(Gate *g, const char *hall, const char *out[], unsigned max);

#endif
