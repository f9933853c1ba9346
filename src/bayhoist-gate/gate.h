/* SPDX-License-Identifier: BSD-3-Clause */
/* bayhoist-gate: the HTTP gateway of an entry VM. inbound.c holds the connections of callers, outbound.c
 * those to endpoints, call.c the states of one request, cluster.c the cooperation of the nodes, and a binding
 * behind port.h what is specific to the platform. Everything runs in one event loop on one thread. */
#ifndef BAYHOIST_GATE_H
#define BAYHOIST_GATE_H

#include <event2/event.h>
#include <event2/http.h>
#include <event2/listener.h>
#include <glib.h>
#include "bayhoist/answer_assembly.h"
#include "bayhoist/answer_time.h"
#include "bayhoist/caller_time.h"
#include "bayhoist/configuration_state.h"
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
#include "bayhoist/shutdown.h"
#include "bayhoist/signal_relay.h"
#include "bayhoist/silence_history.h"
#include "bayhoist/silent_dispatch.h"
#include "peers.h"
#include "port.h"
#include "settings.h"

typedef struct Call Call;
typedef struct Inbound Inbound;
typedef struct Outbound Outbound;
typedef struct Cluster Cluster;
typedef struct PlatformSync PlatformSync;
typedef struct Crashes Crashes;
typedef struct ReachPort ReachPort;
typedef struct Links Links;
typedef struct Signals Signals;
typedef struct RelayServer RelayServer;

/* How a request ended, for the counters. */
typedef enum { CALL_SERVED, CALL_REFUSED, CALL_FAILED, CALL_CALLER_GONE, CALL_OUTCOME_COUNT } CallOutcome;

/* Counts since the start, and distributions of times in microseconds. */
typedef struct {
	uint64_t requests;                     /* requests received */
	uint64_t outcomes[CALL_OUTCOME_COUNT]; /* requests ended, by outcome */
	uint64_t dispatches;                   /* requests sent to endpoints */
	uint64_t silence_reports; /* overdue requests that were reported to the endpoint's home node */
	uint64_t overdue[BH__SILENT_DISPATCH_ACTION_COUNT]; /* overdue dispatches, by what was done about them */
	uint64_t last_endpoint_dispatches;              /* dispatches to one of the last endpoints of a service */
	uint64_t dispatch_ends[BH__DISPATCH_END_COUNT]; /* dispatches ended, by result */
	uint64_t repeats;                               /* decisions to dispatch a request again */
	uint64_t resumes;                               /* decisions to dispatch again that resume a stream */
	uint64_t local_grants;       /* placements by this node because the scheduler did not answer */
	uint64_t denied_keys;        /* requests refused for an unknown or missing API key */
	uint64_t no_route;           /* requests that match no route */
	uint64_t part_refusals;      /* requests refused because a part of the routing can't be decoded */
	uint64_t stale_refusals;     /* requests refused because the routing was missing or too old */
	uint64_t directory_answers;  /* answers of the directory */
	uint64_t bad_answers;        /* answers to another request, or without proof that an endpoint gave them */
	uint64_t stop_dispatches;    /* requests sent to endpoints while the node was leaving */
	uint64_t stop_refusals;      /* requests ended because their answers would have outlasted the node */
	uint64_t stop_unfinished[2]; /* requests without a whole answer when the node exited; [1]: begun */
	uint64_t limit_changes;      /* changes of endpoints' rate limits */
	uint64_t signals[BH__SIGNAL_KIND_COUNT];            /* answers with a valid signal, by kind */
	uint64_t unreadable_signals[BH__SIGNAL_KIND_COUNT]; /* answers with an invalid signal, by kind */
	BH__Histogram grant_wait;                           /* from ask to grant */
	BH__Histogram first_event[BH__SIZE_CLASSES]; /* from arrival to the first event, by size of the prompt */
	BH__Histogram whole;                         /* from arrival to the end of a served request */
} GateCounters;

/* Observed times of one route. */
typedef struct {
	BH__CallerTime caller;                   /* how long its callers wait */
	BH__AnswerTime answer[BH__SIZE_CLASSES]; /* how long its answers take, by size of the prompt */
} RouteTimes;

struct Gate {
	const GatePort *port;
	GateSettings settings;
	struct event_base *base;
	void *binding;                        /* state of the platform's binding */
	Cluster *cluster;                     /* membership, schedulers and messages between nodes */
	BH__Members *members;                 /* of the cluster, which frees it */
	PlatformSync *platform_sync;          /* how this node shares the platform's state with other nodes */
	BH__PlatformSync *sync;               /* the library's part of it, which it frees */
	Crashes *crashes;                     /* crash reports and quarantine */
	ReachPort *reach_port;                /* what the layer that reaches endpoints needs of those above */
	Signals *signals;                     /* what endpoints say in their answers */
	BH__SignalRelay *signal_relay;        /* the library's part of signals, which they free */
	Links *links;                         /* this node's own links to the endpoints */
	RelayServer *relay_server;            /* requests that peers send through this node */
	BH__Routing *routing;                 /* configuration in use; NULL: none yet */
	char *routing_text;                   /* text that `routing` was decoded from */
	BH__ConfigurationState configuration; /* how new `routing` is known to be */
	BH__ConfigurationStatus configuration_status_logged; /* status that was last logged */
	char *refused_cause; /* why the newest configuration can't be decoded; valid if it can't; NULL: unknown */
	BH__Registry *registry;         /* registered endpoints */
	BH__StartupState startup_state; /* state loaded since the start */
	bool startup_complete; /* the startup state is complete, and calls that waited for it have begun */
	uint64_t registry_version_applied;   /* registry version that the planners have applied */
	uint64_t halls_version_logged;       /* version of the halls' states that was last logged */
	BH__StoreVersion store_version_seen; /* last store version that the registry showed */
	GHashTable *budgets;                 /* BH__ServiceRetryBudget by service name */
	GHashTable *route_times;             /* RouteTimes by route name */
	GHashTable *silence_histories;       /* BH__SilenceHistory by service name */
	GHashTable *calls;                   /* set of live Call */
	GHashTable *unknown_headers;     /* uint64_t counts of answers with a header unknown here, by its name */
	GHashTable *inbounds;            /* set of open Inbound */
	BH__MemoryBudget memory_budget;  /* memory budget for buffered requests and answers */
	uint64_t read_ahead_bytes;       /* bytes read from callers and not yet parsed */
	struct evconnlistener *listener; /* for callers */
	struct evhttp *web[3];           /* directory, readiness, control */
	GPtrArray *own_events;           /* timers and signal handlers of main.c */
	GateCounters counters;
	uint64_t last_endpoint_logged_us; /* when a dispatch to a last endpoint was last logged; 0: never */
	uint64_t boot_id;                 /* id of this run of the process */
	uint64_t started_us;              /* when the process started */
	BH__Shutdown shutdown;            /* the planned stop of the node */
};

/* gate.c */
bool gate_is_ready(const Gate *g, uint64_t now_us);
bool gate_has_endpoints(const Gate *g);
bool gate_trusts_keys(const Gate *g, uint64_t now_us);
bool gate_set_routing(Gate *g, BH__Routing *routing, const char *text, uint64_t platform_read_us,
					  GError **error);
void gate_note_no_configuration(Gate *g, uint64_t platform_read_us);
void gate_note_configuration_requested(Gate *g, uint64_t answer_us);
void gate_note_configuration_failed(Gate *g);
void gate_note_configuration_shown(Gate *g, uint64_t platform_read_us);
void gate_note_configuration_confirmed(Gate *g, uint64_t version, uint64_t platform_read_us);
void gate_note_configuration_refused(Gate *g, uint64_t version, const char *cause, uint64_t platform_read_us);
void gate_note_registry(Gate *g, uint64_t platform_read_us);
void gate_add_unconfirmed_node(Gate *g, const char *duty, const BH__MemberInfo *info);
void gate_note_duties(Gate *g);
void gate_merge_quarantined(Gate *g, const BH__QuarantineEntry *aged);
BH__ServiceRetryBudget *gate_get_budget(Gate *g, const char *service);

/* inbound.c */
/* A caller's request. */
typedef struct {
	const char *method;
	char *target;     /* path and query, as the caller sent them */
	char *host;       /* value of the Host header */
	GString *headers; /* "name: value" lines that are passed through unchanged */
	GByteArray *body;
	RequestMeta meta;
	uint64_t arrived_us; /* when the request was received */
} InboundRequest;

bool inbounds_listen(Gate *g);
void inbounds_refuse_new(Gate *g);
void inbounds_stop_listening(Gate *g);
void inbounds_free(Gate *g);
unsigned inbounds_count_unsent(const Gate *g);
unsigned inbounds_count_incomplete(const Gate *g);
void inbounds_refuse_incomplete(Gate *g, uint64_t retry_after_ms);
unsigned inbounds_count_unasked(const Gate *g);
const InboundRequest *inbound_get_request(const Inbound *in);
void inbound_send_error(Inbound *in, int status, uint64_t retry_after_ms, const char *code,
						const char *message);
void inbound_answer_complete(Inbound *in, int status, const char *reason, const GString *headers,
							 struct evbuffer *body);
void inbound_answer_begin(Inbound *in, int status, const char *reason, const GString *headers);
bool inbound_answer_append(Inbound *in, const char *data, size_t len);
void inbounds_apply_settings(Gate *g);
void inbound_answer_end(Inbound *in);
void inbound_abort(Inbound *in);

/* answer_buffer.c */
#define ANSWER_BUFFER_READ_MAX (16 * 1024) /* bytes of one read from a caller or an endpoint */

void answer_buffer_count(Gate *g, struct evbuffer *buffer);
void answer_buffer_stop_counting(Gate *g, struct evbuffer *buffer);
size_t answer_buffer_get_max(const Gate *g, size_t max);
size_t answer_buffer_get_read_max(const Gate *g);

/* outbound.c */
/* The head of an endpoint's answer. */
typedef struct {
	int status;      /* HTTP status */
	char reason[64]; /* HTTP reason phrase */
	AnswerMeta meta;
	GString *headers; /* "name: value" lines that are passed through unchanged */
	bool is_event_stream;
	bool is_encoded; /* a content coding has been applied to the body */
} OutboundHead;

/* Receivers of an answer: of its head, of each part of its body, and of the connection's end. on_end() is
 * called once; the Outbound is freed afterwards. */
typedef struct {
	void (*on_head)(void *ctx, const OutboundHead *head);
	void (*on_body)(void *ctx, const char *data, size_t len);
	/* `is_own_fault`: what failed is the way to the endpoint, which says nothing of the endpoint */
	void (*on_end)(void *ctx, BH__TransferEnd end, bool is_own_fault);
} OutboundCallbacks;

Outbound *outbound_start(Gate *g, const BH__RegisteredEndpoint *e, struct evbuffer *request,
						 const char *request_id, const OutboundCallbacks *cb, void *ctx);
void outbound_cancel(Outbound *o);
void outbound_end_after_read(Outbound *o);
void outbound_limit_rest(Outbound *o);
void outbound_pause(Outbound *o, bool paused);
bool outbound_is_connected(const Outbound *o);
bool outbound_is_own_fault(const Outbound *o);
bool outbound_is_relayed(const Outbound *o);

/* call.c */

/* The admission state of a call: its ask to the scheduler of its service and the grant that it holds. */
typedef struct {
	BH__Ask ask;                /* current ask; ask_id 0: none */
	uint64_t asked_node;        /* node that was asked last */
	BH__Grant grant;            /* grant held; grant_id 0: none */
	uint64_t granted_us;        /* when the grant was received */
	uint64_t granted_node;      /* node that granted */
	BH__Grant next;             /* grant for the next dispatch while the current one holds `grant`, from
								   `asked_node`; grant_id 0: none */
	char service[BH__NAME_LEN]; /* name of the service */
} CallAdmission;

Call *call_start(Gate *g, Inbound *in);
void call_on_caller_gone(Call *c);
void call_on_drained(Call *c);
void call_on_grant(Call *c);
void call_on_refuse(Call *c, BH__Reason reason, uint64_t retry_after_ms);
void call_on_queued(Call *c);
void call_on_permit(Call *c, bool granted, uint64_t wait_us);
void call_on_scheduler_lost(Call *c);
CallAdmission *call_get_admission(Call *c);
void calls_process_startup_state(Gate *g);
void calls_process_quarantined(Gate *g, const BH__Fingerprint *f);
void calls_free(Gate *g);

/* stop.c */
void stop_begin(Gate *g, int signal);

/* memory.c */

/* The memory of one grant that is reserved on its helpers. */
typedef struct MemoryHold MemoryHold;
/* Receives the result of a reservation: true if all memory is held. */
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
void cluster_process_deferred(Cluster *c);
bool cluster_awaits(Cluster *c, uint64_t node_id);
void cluster_leave(Cluster *c, uint64_t now_us);
void cluster_apply_routing(Cluster *c, uint64_t now_us);
void cluster_apply_registry(Cluster *c, uint64_t now_us);
void cluster_apply_era(Cluster *c);
unsigned cluster_count_nodes(const Cluster *c);
void cluster_ask(Cluster *c, Call *call);
void cluster_resend_ask(Cluster *c, Call *call);
void cluster_ask_locally(Cluster *c, Call *call);
void cluster_drop_ask(Cluster *c, Call *call);
void cluster_notify_progress(Cluster *c, Call *call);
void cluster_notify_iteration(Cluster *c, Call *call, uint64_t iteration_us);
void cluster_release(Cluster *c, Call *call, BH__ReleaseKind kind, uint64_t failed_endpoint);
void cluster_release_next(Cluster *c, Call *call);
bool cluster_use_next(Call *call);
void cluster_write_status(const Cluster *c, struct evbuffer *out);
struct json_object *cluster_describe_division(const Gate *g);

void cluster_send(Cluster *c, uint64_t node_id, BH__Message *m);

/* reach_port.c */
ReachPort *reach_port_new(Gate *g);
void reach_port_delete(ReachPort *port);

/* signals.c */

/* The answer in which an endpoint's signals were received. */
typedef struct {
	uint64_t endpoint_id;
	uint64_t incarnation;   /* incarnation of the endpoint at the dispatch, see bh__registry_note_start() */
	uint64_t sent_us;       /* when the request was sent */
	uint64_t received_us;   /* when the answer was received */
	int status;             /* HTTP status */
	bool is_served;         /* the endpoint ran the request, so that a limit it doesn't name has ended */
	const char *request_id; /* for the log */
} AnswerOrigin;

Signals *signals_new(Gate *g);
void signals_delete(Signals *s);
void signals_process_tick(Signals *s);
bool signals_process_message(Signals *s, const BH__Message *m);
void signals_notify_node(Signals *s, uint64_t node_id);
void signals_note_answer(Gate *g, const AnswerOrigin *o, const AnswerMeta *m);
void signals_note_unknown(Gate *g, const char *header);
void signals_write_status(const Gate *g, struct evbuffer *out);

/* endpoints.c */
const char *endpoints_get_state(const BH__RegisteredEndpoint *e, uint64_t now_us);
struct json_object *endpoints_describe(const Gate *g);

/* limits.c */
void cluster_ask_permit(Cluster *c, Call *call, const BH__RegisteredEndpoint *e, uint64_t max_wait_us);

/* platform_sync.c */
PlatformSync *platform_sync_new(Gate *g);
void platform_sync_delete(PlatformSync *p);
void platform_sync_apply_settings(PlatformSync *p);
void platform_sync_write_status(const PlatformSync *p, struct evbuffer *out);

/* configuration_status.c */
void configuration_log_change(Gate *g);
void configuration_log_refusals(const Gate *g);
void configuration_write_status(const Gate *g, struct evbuffer *out);
struct json_object *configuration_describe(const Gate *g);

/* halls.c */
void halls_log_changes(Gate *g);
void halls_write_status(const Gate *g, struct evbuffer *out);
struct json_object *halls_describe(const Gate *g);

/* last_endpoints.c */
void last_endpoints_apply_settings(Gate *g);
void last_endpoints_note_dispatch(Gate *g, const BH__RegisteredEndpoint *e, uint64_t now_us);
void last_endpoints_write_status(const Gate *g, struct evbuffer *out);

/* bookings.c */
struct json_object *bookings_describe(const Gate *g);

/* silences.c */
void silences_process_tick(Gate *g, uint64_t now_us);
void silences_write_status(const Gate *g, struct evbuffer *out);

/* web.c */
bool web_start(Gate *g);
void web_stop(Gate *g);
unsigned web_list_caller_addresses(Gate *g, const char *hall, const char *out[], unsigned max);

#endif
