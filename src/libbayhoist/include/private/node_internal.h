/* SPDX-License-Identifier: BSD-3-Clause */
/* The parts of a node, shared by its modules: node.c (messages, ticks), spread.c (configuration and account
 * rates among nodes), admission.c, request.c and attempt.c (callers' requests), duty.c (pools that this node
 * schedules), orders.c (orders to endpoints). */
#ifndef BAYHOIST_PRIVATE_NODE_INTERNAL_H
#define BAYHOIST_PRIVATE_NODE_INTERNAL_H

#include "bayhoist/node.h"
#include "bayhoist/quota.h"
#include "parts.h"
#include "retry.h"
#include "routes.h"

#define BH__TRIED_POOLS_MAX 3
#define BH__HELD_MESSAGE                                                                                     \
	"endpoints have crashed each time they ran this request; it is not sent to any for now"

typedef enum {
	BH__REQUEST_QUOTA,    /* waits for its account's rate */
	BH__REQUEST_ASKING,   /* waits for a grant */
	BH__REQUEST_SEGMENTS, /* engines of a gang prefill one after another */
	BH__REQUEST_ANSWER,   /* the answer is being generated */
	BH__REQUEST_PAUSED    /* waits before another attempt or a resume */
} BH__RequestState;

extern const char *const BH__RequestStateString[];

/* What a pause ends in. */
typedef enum {
	BH__PAUSE_ASK,    /* a new ask */
	BH__PAUSE_RESUME, /* a resume of the stream */
	BH__PAUSE_REPEAT  /* the same call again: a gang's engine has not drained yet */
} BH__PauseEnd;

typedef struct {
	uint64_t request_id;
	BH__RequestState state;
	uint64_t model_id;
	const char *model; /* owned */
	bool is_service;
	bool repeatable;
	bool may_have_run;
	uint64_t arrived_us;
	uint64_t deadline_us;
	uint64_t wake_us; /* when to resend the ask, or to end the pause */
	BH__PauseEnd pause_end;
	uint64_t prompt_tokens;
	uint64_t kv_bytes;
	BH__Ask ask;        /* for one part; ask_id 0: none out */
	uint64_t scheduler; /* that was asked */
	uint64_t tried_pool[BH__TRIED_POOLS_MAX];
	unsigned tried_count;
	unsigned part_count; /* planned; nearly always 1 */
	unsigned granted_count;
	BH__RequestPart part[BH__PARTS_MAX];
	unsigned segment; /* engine at work, counted over all parts */
	uint64_t pieces;  /* of the answer that the caller has */
	uint64_t quota_tokens;
	uint32_t attempts;
	uint32_t resumes; /* of the current attempt */
	uint32_t drain_waits;
	uint64_t once_entry; /* 0: repeatable, or without a key */
	BH__Fingerprint fingerprint;
	bool was_broken; /* an endpoint broke it off, and that was reported */
	GString *answer; /* kept for a later replay; NULL: not kept */
} BH__RequestEntry;

typedef struct {
	uint64_t pool_id;
	BH__Pool *pool;
	uint64_t next_poll_us;
	uint64_t next_list_us; /* of a poll that asks for attempts too */
	uint64_t next_digest_us;
} BH__Duty;

typedef struct BH__Orders BH__Orders;

struct BH__Node {
	BH__NodePorts *ports;
	BH__MembersPort members_port; /* these ports lead back here: found by their offset */
	BH__PoolPort pool_port;
	BH__CrashPort crash_port;
	BH__NodeOptions options;
	uint64_t now_us;
	bool draining;
	bool leaving;
	GRand *rand;
	BH__Store *store;
	BH__Config *config;
	BH__Members *members;
	BH__Once *once;
	BH__Quota *quota;
	BH__Routes *routes;
	BH__Orders *orders;
	BH__CrashWatch *crashes;
	BH__RetryBudget retry;
	GHashTable *keys;        /* hex of a key's hash -> BH__Resource * of its account */
	GHashTable *requests;    /* BH__RequestEntry by request id */
	GHashTable *by_ask;      /* the same by ask id */
	GHashTable *by_attempt;  /* the same by attempt id */
	GHashTable *duties;      /* BH__Duty by pool id */
	GHashTable *leaving_vms; /* set of name ids that the VM list shows as leaving */
	GQueue inbox;            /* BH__Message * to this node itself */
	uint64_t next_id;
	uint64_t members_seen; /* version of members that duties follow */
	uint64_t next_poll_us; /* of the store's head */
	uint64_t next_hold_us;
	uint64_t next_quota_us;
	uint64_t config_asked_us;
	BH__NodeCounters counters;
};

/* node.c */
void bh__node_send(BH__Node *n, uint64_t node_id, BH__Message *m);
void bh__node_drain_inbox(BH__Node *n);
uint64_t bh__node_new_id(BH__Node *n);
void bh__node_event(BH__Node *n, BH__EventType type, uint64_t request_id, uint64_t attempt_id,
					const char *subject, const char *what, uint64_t value);
const char *bh__node_name_endpoint(const BH__Node *n, uint64_t endpoint_id);
bool bh__node_endpoint_leaves(const BH__Node *n, const BH__Resource *endpoint);

/* spread.c */
void bh__peer_sync_receive_revision(BH__Node *n, uint64_t node_id, uint64_t revision);
void bh__peer_sync_process_config_ask(BH__Node *n, const BH__Message *m);
void bh__peer_sync_process_config_data(BH__Node *n, const BH__Message *m);
void bh__peer_sync_process_quota_ask(BH__Node *n, const BH__Message *m);
void bh__peer_sync_send_quota_asks(BH__Node *n);

/* request.c */
void bh__requests_process_tick(BH__Node *n);
void bh__requests_process_grant(BH__Node *n, const BH__Grant *g, uint64_t from_node);
void bh__requests_process_refuse(BH__Node *n, uint64_t ask_id, BH__Reason reason, uint64_t retry_after_ms);
void bh__requests_process_schedulers(BH__Node *n);
void bh__requests_process_quota(BH__Node *n);
void bh__requests_send_holds(BH__Node *n);
void bh__requests_finish_all(BH__Node *n);
void bh__requests_free(gpointer entry);
bool bh__requests_hold_attempt(const BH__Node *n, uint64_t attempt_id);

/* request.c, for admission.c and attempt.c */
bool bh__request_ask(BH__Node *n, BH__RequestEntry *e);
void bh__request_ask_part(BH__Node *n, BH__RequestEntry *e);
void bh__request_drop_ask(BH__Node *n, BH__RequestEntry *e, bool withdraw);
void bh__request_finish(BH__Node *n, BH__RequestEntry *e, BH__Verdict verdict, BH__Reason reason,
						uint64_t retry_after_ms, const char *message);
BH__Verdict bh__request_get_failure_verdict(const BH__RequestEntry *e);

/* attempt.c */
void bh__attempt_call(BH__Node *n, BH__RequestEntry *e, BH__CallKind kind);
void bh__attempt_call_member(BH__Node *n, BH__RequestEntry *e);
void bh__attempt_cancel(BH__Node *n, const BH__RequestEntry *e, bool with_last);
void bh__attempt_release(BH__Node *n, BH__RequestEntry *e, BH__ReleaseKind kind, uint64_t failed_endpoint);
uint64_t bh__attempt_get_pause_us(uint32_t attempts);

/* crash_duty.c */
void bh__crashes_init(BH__Node *n);
uint64_t bh__crashes_get_held_us(const BH__Node *n, const BH__Fingerprint *f);
bool bh__crashes_end_held(BH__Node *n, BH__RequestEntry *e);
void bh__crashes_note_broken(BH__Node *n, BH__RequestEntry *e, uint64_t endpoint_id);
void bh__crashes_note_served(BH__Node *n, const BH__RequestEntry *e);

/* duty.c */
void bh__duties_follow(BH__Node *n);
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
