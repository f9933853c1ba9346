/* SPDX-License-Identifier: BSD-3-Clause */
/* The state of a node and the functions that its modules share: node.c (messages, ticks), peer_sync.c
 * (exchange of configuration and account rates with other nodes), admission.c, request.c and attempt.c
 * (callers' requests), crash_duty.c (quarantine of requests that crash endpoints), duty.c (pools that this
 * node schedules) and orders.c (orders to endpoints). */
#ifndef BAYHOIST_PRIVATE_NODE_INTERNAL_H
#define BAYHOIST_PRIVATE_NODE_INTERNAL_H

#include "bayhoist/node.h"
#include "bayhoist/quota.h"
#include "parts.h"
#include "retry.h"
#include "routes.h"

#define BH__TRIED_POOLS_MAX 3 /* pools that one attempt asks before the request is refused */
#define BH__QUARANTINE_REFUSAL_TEXT                                                                          \
	"endpoints have crashed each time they ran this request; it is not sent to any for now"

typedef enum {
	BH__REQUEST_QUOTA,    /* waits for a share of its account's rate */
	BH__REQUEST_ASKING,   /* waits for a grant */
	BH__REQUEST_SEGMENTS, /* the engines of a gang prefill one after another */
	BH__REQUEST_ANSWER,   /* the answer is being generated */
	BH__REQUEST_PAUSED    /* waits until wake_us, then does pause_action */
} BH__RequestState;

extern const char *const BH__RequestStateString[];

/* What to do when a request's pause ends. */
typedef enum {
	BH__PAUSE_ASK,       /* ask for a new grant */
	BH__PAUSE_RESUME,    /* resume the answer stream */
	BH__PAUSE_CALL_AGAIN /* repeat the call that a gang's engine refused because it had not drained yet */
} BH__PauseAction;

/* A live request of a caller. */
typedef struct {
	uint64_t request_id;
	BH__RequestState state;
	uint64_t model_id;
	const char *model; /* owned */
	bool is_service;   /* the model is a service that is not an engine */
	bool repeatable;   /* the request may safely run more than once */
	bool may_have_run; /* an endpoint may have run an earlier call of this request */
	uint64_t arrived_us;
	uint64_t deadline_us;
	uint64_t wake_us; /* when to resend the ask or end the pause */
	BH__PauseAction pause_action;
	uint64_t prompt_tokens; /* estimated from the prompt's length */
	uint64_t kv_bytes;      /* engine memory for the prompt and the answer */
	BH__Ask ask;            /* for one part of the prompt; ask_id 0: no ask is outstanding */
	uint64_t scheduler;     /* node id that the last ask was sent to */
	uint64_t tried_pool[BH__TRIED_POOLS_MAX]; /* pools that refused the request */
	unsigned tried_count;
	unsigned part_count;    /* parts planned; 1 unless the prompt is too large for any one pool */
	unsigned granted_count; /* parts granted so far */
	BH__RequestPart part[BH__PARTS_MAX];
	unsigned segment;           /* index of the engine that is at work, counted over all parts */
	uint64_t answer_chunks;     /* answer chunks that the caller has */
	uint64_t quota_tokens;      /* tokens charged to the account */
	uint32_t attempts;          /* attempts started */
	uint32_t resumes;           /* resumes of the current attempt */
	uint32_t drain_waits;       /* pauses of the current attempt for gang engines that had not drained */
	uint64_t idempotency_entry; /* 0: the request is repeatable or has no key */
	BH__Fingerprint fingerprint;
	bool was_aborted; /* an endpoint broke the request off, and this was reported as a possible crash */
	GString *answer;  /* answer so far, for a later replay; NULL: not kept */
} BH__RequestEntry;

/* A pool that this node schedules. */
typedef struct {
	uint64_t pool_id;
	BH__Pool *pool;
	uint64_t next_poll_us;          /* when to request the next load reports */
	uint64_t next_attempts_poll_us; /* when to request load reports that list the attempts */
	uint64_t next_digest_us;        /* when to make the next pool digest */
} BH__Duty;

typedef struct BH__Orders BH__Orders;

struct BH__Node {
	BH__NodePorts *ports;
	BH__MembersPort members_port; /* callbacks find the node by the offset of their port in this structure */
	BH__PoolPort pool_port;
	BH__CrashPort crash_port;
	BH__NodeOptions options;
	uint64_t now_us;        /* time of the call or tick in progress */
	bool is_draining_inbox; /* bh__node_drain_inbox() is running */
	bool leaving;           /* a planned stop has begun */
	GRand *rand;
	BH__Store *store;
	BH__Config *config;
	BH__Members *members;
	BH__IdempotencyTable *idempotency_table; /* outcomes of requests with an idempotency key */
	BH__Quota *quota;
	BH__Routes *routes;
	BH__Orders *orders;
	BH__CrashWatch *crashes;
	BH__RetryBudget retry;
	GHashTable *accounts_by_key;     /* hex SHA-256 of an API key -> BH__Resource * of its account */
	GHashTable *requests;            /* BH__RequestEntry by request id */
	GHashTable *requests_by_ask;     /* BH__RequestEntry by id of its outstanding ask */
	GHashTable *requests_by_attempt; /* BH__RequestEntry by attempt id (grant id) */
	GHashTable *duties;              /* BH__Duty by pool id */
	GHashTable *leaving_vms;         /* set of hashed names of VMs that the VM list shows as leaving */
	GQueue inbox;                    /* BH__Message * that this node has sent to itself */
	uint64_t next_id;                /* counter behind bh__node_new_id() */
	uint64_t members_version;        /* version of `members` that duties were last updated for */
	uint64_t next_poll_us;           /* when to poll the configuration head in the store */
	uint64_t next_hold_us;           /* when to send the lists of held grants */
	uint64_t next_quota_us;          /* when to request shares of account rates */
	uint64_t config_asked_us; /* when configuration was last requested from a node; 0: none is awaited */
	BH__NodeCounters counters;
};

/* node.c */
void bh__node_send(BH__Node *n, uint64_t node_id, BH__Message *m);
void bh__node_drain_inbox(BH__Node *n);
uint64_t bh__node_new_id(BH__Node *n);
void bh__node_event(BH__Node *n, BH__EventType type, uint64_t request_id, uint64_t attempt_id,
					const char *subject, const char *what, uint64_t value);
const char *bh__node_get_endpoint_name(const BH__Node *n, uint64_t endpoint_id);
bool bh__node_endpoint_is_leaving(const BH__Node *n, const BH__Resource *endpoint);

/* peer_sync.c */
void bh__peer_sync_receive_revision(BH__Node *n, uint64_t node_id, uint64_t revision);
void bh__peer_sync_process_config_ask(BH__Node *n, const BH__Message *m);
void bh__peer_sync_process_config_data(BH__Node *n, const BH__Message *m);
void bh__peer_sync_process_quota_ask(BH__Node *n, const BH__Message *m);
void bh__peer_sync_send_quota_asks(BH__Node *n);

/* request.c */
void bh__requests_process_tick(BH__Node *n);
void bh__requests_process_grant(BH__Node *n, const BH__Grant *g, uint64_t from_node);
void bh__requests_process_refuse(BH__Node *n, uint64_t ask_id, BH__Reason reason, uint64_t retry_after_ms);
void bh__requests_process_scheduler_change(BH__Node *n);
void bh__requests_process_quota(BH__Node *n);
void bh__requests_send_holds(BH__Node *n);
void bh__requests_finish_all(BH__Node *n);
void bh__requests_free(gpointer entry);
bool bh__requests_has_attempt(const BH__Node *n, uint64_t attempt_id);

/* request.c, for admission.c and attempt.c */
bool bh__request_ask(BH__Node *n, BH__RequestEntry *e);
void bh__request_ask_part(BH__Node *n, BH__RequestEntry *e);
void bh__request_drop_ask(BH__Node *n, BH__RequestEntry *e, bool withdraw);
void bh__request_finish(BH__Node *n, BH__RequestEntry *e, BH__Verdict verdict, BH__Reason reason,
						uint64_t retry_after_ms, const char *message);
BH__Verdict bh__request_get_failure_verdict(const BH__RequestEntry *e);

/* attempt.c */
void bh__attempt_call(BH__Node *n, BH__RequestEntry *e, BH__CallKind kind);
void bh__attempt_call_current_member(BH__Node *n, BH__RequestEntry *e);
void bh__attempt_cancel(BH__Node *n, const BH__RequestEntry *e, bool with_last);
void bh__attempt_release(BH__Node *n, BH__RequestEntry *e, BH__ReleaseKind kind, uint64_t failed_endpoint);
uint64_t bh__attempt_get_pause_us(uint32_t attempts);

/* crash_duty.c */
void bh__crashes_init(BH__Node *n);
uint64_t bh__crashes_get_held_us(const BH__Node *n, const BH__Fingerprint *f);
bool bh__crashes_end_held(BH__Node *n, BH__RequestEntry *e);
void bh__crashes_note_aborted(BH__Node *n, BH__RequestEntry *e, uint64_t endpoint_id);
void bh__crashes_note_served(BH__Node *n, const BH__RequestEntry *e);

/* duty.c */
void bh__duties_apply(BH__Node *n);
void bh__duties_process_tick(BH__Node *n);
BH__Duty *bh__duties_find(const BH__Node *n, uint64_t pool_id);
void bh__duties_free(gpointer duty);
void bh__duties_load_endpoints(BH__Node *n, BH__Duty *d);
void bh__duties_process_orphan(BH__Node *n, uint64_t endpoint_id, uint64_t attempt_id);
void bh__duties_init_port(BH__Node *n);

/* orders.c */
BH__Orders *bh__orders_new(void);
void bh__orders_delete(BH__Orders *o);
void bh__orders_process_tick(BH__Node *n);
void bh__orders_process_report(BH__Node *n, const BH__LoadReport *r, const char *const *loaded);
const char *const *bh__orders_get_loaded(const BH__Node *n, uint64_t endpoint_id);
bool bh__orders_is_ready(const BH__Node *n, const BH__Resource *endpoint);

#endif
