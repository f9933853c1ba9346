/* SPDX-License-Identifier: BSD-3-Clause */
/* One node: every decision of an entry VM, with all input and output through ports. Deterministic by its
 * seed and inputs, with no globals, so that a test or bench can drive as many nodes as it likes. */
#ifndef BAYHOIST_NODE_H
#define BAYHOIST_NODE_H

#include "bayhoist/config.h"
#include "bayhoist/crash_watch.h"
#include "bayhoist/event.h"
#include "bayhoist/histogram.h"
#include "bayhoist/members.h"
#include "bayhoist/once.h"
#include "bayhoist/pool.h"
#include "bayhoist/store.h"

typedef struct BH__Node BH__Node;

typedef enum {
	BH__CALL_SEGMENT, /* prefill one part of a prompt and keep it */
	BH__CALL_ANSWER,  /* generate the answer, from the pieces already sent on */
	BH__CALL_RESUME,  /* go on with a stream of the same attempt */
	BH__CALL_SERVICE  /* a call to a plain service */
} BH__CallKind;

extern const char *const BH__CallKindString[];

/* What an endpoint is asked to do for one attempt. */
typedef struct {
	BH__CallKind kind;
	uint64_t request_id;
	uint64_t attempt_id;
	uint64_t endpoint_id;
	uint32_t segment;
	uint64_t first_token;
	uint64_t token_count;
	uint32_t priority_level;
	uint64_t piece_offset; /* pieces of the answer that the caller has */
	uint8_t member_count;
	uint64_t member[BH__GRANT_MEMBERS_MAX * BH__PARTS_MAX]; /* engines that hold the earlier segments */
	uint64_t member_attempt[BH__GRANT_MEMBERS_MAX * BH__PARTS_MAX]; /* under these attempt ids */
} BH__AttemptCall;

typedef enum {
	BH__ATTEMPT_DONE,
	BH__ATTEMPT_REFUSED,     /* the endpoint says that it did not run it */
	BH__ATTEMPT_UNREACHABLE, /* nothing was sent */
	BH__ATTEMPT_BROKEN,      /* it may have run */
	BH__ATTEMPT_UNKNOWN,     /* a resume found no such attempt */
	BH__ATTEMPT_REJECTED     /* the endpoint answered with an error of the request itself */
} BH__AttemptEnd;

extern const char *const BH__AttemptEndString[];

typedef struct {
	BH__Verdict verdict;
	BH__Reason reason;
	uint64_t retry_after_ms;
	uint32_t attempts;
	const char *message; /* may be NULL */
} BH__Outcome;

typedef struct {
	uint64_t endpoint_id;
	uint64_t fence;     /* fencing token */
	const char *action; /* "load-version" or "load-adapter" */
	const char *target; /* its name */
	uint64_t weight_bytes;
} BH__Order;

typedef struct BH__NodePorts {
	void (*send)(struct BH__NodePorts *ports, const char *peer_address, const BH__Message *m);
	void (*attempt_start)(struct BH__NodePorts *ports, const BH__AttemptCall *call);
	void (*attempt_cancel)(struct BH__NodePorts *ports, uint64_t attempt_id, uint64_t endpoint_id);
	/* Asks an engine for its load; the list of its attempts only if `with_attempts`, since it is long. */
	void (*endpoint_poll)(struct BH__NodePorts *ports, uint64_t endpoint_id, uint64_t cache_sequence,
						  bool with_attempts);
	/* Looks whether an endpoint listens; bh__node_process_endpoint_look() takes what that shows. */
	void (*endpoint_look)(struct BH__NodePorts *ports, uint64_t endpoint_id);
	void (*endpoint_order)(struct BH__NodePorts *ports, const BH__Order *order);
	void (*answer_piece)(struct BH__NodePorts *ports, uint64_t request_id, const char *data, size_t len);
	void (*answer_end)(struct BH__NodePorts *ports, uint64_t request_id, const BH__Outcome *outcome);
	void (*event)(struct BH__NodePorts *ports, const BH__Event *event);
} BH__NodePorts;

typedef struct {
	BH__MemberInfo self; /* node_id is set from the name */
	uint32_t seed;
	double store_reads_per_s;
	double store_writes_per_s;
	uint32_t max_requests;
	uint32_t once_entries;
	size_t once_answer_bytes;
} BH__NodeOptions;

/* A caller's request. */
typedef struct {
	uint64_t request_id; /* from bh__node_new_request_id() */
	uint64_t account_id;
	const char *model;   /* of a model or a plain service */
	const char *adapter; /* NULL: none */
	uint64_t prompt_bytes;
	uint64_t max_tokens;  /* 0: not said */
	uint64_t deadline_us; /* time left; 0: the policy's */
	bool repeatable;
	const char *key;   /* idempotency key of a not-repeatable request; may be NULL */
	const char *stamp; /* that came with the answer to "where"; goes with the key */
	uint64_t body_hash;
	BH__Fingerprint fingerprint; /* the same in each try of the same request; none: not known */
	BH__PrefixChain prefix;
} BH__Request;

typedef enum {
	BH__ADMIT_ACCEPTED, /* the outcome comes through answer_end() */
	BH__ADMIT_REFUSED,
	BH__ADMIT_FORWARD, /* another node's life holds the key: pass the request to it */
	BH__ADMIT_REPLAY   /* finished before: `answer` is what it answered */
} BH__Admission;

typedef struct {
	BH__Admission admission;
	BH__Outcome outcome; /* of a refusal or a replay */
	char message[160];
	char forward_address[BH__ADDRESS_LEN];
	const char *answer;
	size_t answer_len;
} BH__Admitted;

#define BH__WHERE_MAX 16

/* The answer to "where": addresses to use, best first. */
typedef struct {
	unsigned count;
	char address[BH__WHERE_MAX][BH__ADDRESS_LEN];
	char stamp[BH__STAMP_LEN];
	uint32_t ttl_s;
} BH__Where;

/* An entry of the platform's VM list. */
typedef struct {
	char name[BH__NAME_LEN];
	char peer_address[BH__ADDRESS_LEN]; /* empty for a VM that is not a node */
	bool leaving;
} BH__Vm;

BH__Node *bh__node_new(BH__NodePorts *ports, BH__StorePort *store, const BH__NodeOptions *options);
void bh__node_delete(BH__Node *n);
void bh__node_process_tick(BH__Node *n, uint64_t now_us);
void bh__node_process_message(BH__Node *n, const BH__Message *m, uint64_t now_us);
void bh__node_process_unreachable(BH__Node *n, const char *peer_address, uint64_t now_us);
void bh__node_update_vm_list(BH__Node *n, const BH__Vm *vms, unsigned count, uint64_t now_us);
void bh__node_process_endpoint_look(BH__Node *n, uint64_t endpoint_id, BH__CrashProof proof, uint64_t now_us);
void bh__node_process_report(BH__Node *n, const BH__LoadReport *report, const char *const *loaded,
							 uint64_t now_us);
void bh__node_process_store_reply(BH__Node *n, const BH__StoreReply *reply, uint64_t now_us);
void bh__node_leave(BH__Node *n, uint64_t now_us);
bool bh__node_is_idle(const BH__Node *n);

/* Requests. */
uint64_t bh__node_new_request_id(BH__Node *n);
void bh__node_request(BH__Node *n, const BH__Request *r, BH__Admitted *out, uint64_t now_us);
void bh__node_process_caller_gone(BH__Node *n, uint64_t request_id, uint64_t now_us);
void bh__node_process_piece(BH__Node *n, uint64_t attempt_id, uint64_t offset, const char *data, size_t len,
							uint64_t now_us);
void bh__node_process_attempt_end(BH__Node *n, uint64_t attempt_id, uint32_t segment, BH__AttemptEnd end,
								  const char *message, uint64_t now_us);
void bh__node_get_where(BH__Node *n, uint64_t caller_id, const char *hall, BH__Where *out);

/* Views for the daemon. */
const BH__Account *bh__node_find_account(const BH__Node *n, const char *key_sha256, uint64_t *account_id,
										 const char **name);
const BH__Catalog *bh__node_get_catalog(const BH__Node *n);
BH__Config *bh__node_get_config(BH__Node *n);
const BH__Members *bh__node_get_members(const BH__Node *n);
const BH__Pool *bh__node_get_pool(const BH__Node *n, uint64_t pool_id);
uint64_t bh__node_get_scheduler(BH__Node *n, uint64_t pool_id);
const BH__PoolDigest *bh__node_get_digest(const BH__Node *n, uint64_t pool_id);
unsigned bh__node_get_pool_ids(const BH__Node *n, uint64_t *out, unsigned max);

typedef struct {
	uint64_t requests;
	uint64_t finished[3]; /* by verdict */
	uint64_t refused;
	uint64_t attempts;
	uint64_t retries;
	uint64_t retries_denied;
	uint64_t resumes;
	uint64_t orphans_cancelled;
	uint64_t pieces;
	uint64_t crossed; /* pieces that belonged to no live attempt or had been seen */
	uint32_t live;
	BH__Histogram first_token[BH__SIZE_CLASSES]; /* by size class of the prompt */
	BH__Histogram whole;                         /* from arrival to the end of a whole answer */
} BH__NodeCounters;

const BH__NodeCounters *bh__node_get_counters(const BH__Node *n);
bool bh__node_store_is_up(const BH__Node *n);

#endif
