/* SPDX-License-Identifier: BSD-3-Clause */
/* One node: makes every decision of an entry VM and does all input and output through ports. Its behaviour is
 * determined by the seed and the inputs, and it has no global state, so that a test or benchmark can run any
 * number of nodes in one process. */
#ifndef BAYHOIST_NODE_H
#define BAYHOIST_NODE_H

#include "bayhoist/config.h"
#include "bayhoist/crash_watch.h"
#include "bayhoist/event.h"
#include "bayhoist/histogram.h"
#include "bayhoist/members.h"
#include "bayhoist/idempotency.h"
#include "bayhoist/pool.h"
#include "bayhoist/store.h"

typedef struct BH__Node BH__Node;

typedef enum {
	BH__CALL_SEGMENT, /* prefill one segment of a prompt and keep the result in engine memory */
	BH__CALL_ANSWER,  /* prefill the last or only segment and generate the answer, starting at
						 answer_chunk_offset */
	BH__CALL_RESUME,  /* continue the answer stream of an attempt whose connection broke */
	BH__CALL_SERVICE  /* call a service that is not an engine */
} BH__CallKind;

extern const char *const BH__CallKindString[];

/* A call to an endpoint, made on behalf of one attempt. */
typedef struct {
	BH__CallKind kind;
	uint64_t request_id;
	uint64_t attempt_id;
	uint64_t endpoint_id;
	uint32_t segment;     /* index over all parts of the prompt; 0 is the first */
	uint64_t first_token; /* index of the segment's first token in the prompt */
	uint64_t token_count; /* tokens in the segment */
	uint32_t priority_level;
	uint64_t answer_chunk_offset; /* answer chunks that the caller already has */
	uint8_t member_count;         /* earlier segments; 0 if this is the first */
	/* Endpoint and attempt id under which each earlier segment is held. */
	uint64_t member[BH__GRANT_MEMBERS_MAX * BH__PARTS_MAX];
	uint64_t member_attempt[BH__GRANT_MEMBERS_MAX * BH__PARTS_MAX];
} BH__AttemptCall;

typedef enum {
	BH__ATTEMPT_DONE,
	BH__ATTEMPT_REFUSED,     /* the endpoint reports that it did not run the call */
	BH__ATTEMPT_UNREACHABLE, /* no connection was made and nothing was sent */
	BH__ATTEMPT_BROKEN,      /* the connection broke after the call was sent; it may have run */
	BH__ATTEMPT_UNKNOWN,     /* the endpoint does not know the attempt to resume */
	BH__ATTEMPT_REJECTED     /* the endpoint reports an error in the request itself */
} BH__AttemptEnd;

extern const char *const BH__AttemptEndString[];

/* How a request ended, for its caller. */
typedef struct {
	BH__Verdict verdict;
	BH__Reason reason;
	uint64_t retry_after_ms; /* delay before a caller retry; 0: none is suggested */
	uint32_t attempts;       /* attempts that were started */
	const char *message;     /* explanation for the caller; may be NULL */
} BH__Outcome;

/* An order to an endpoint to load a model version or an adapter. */
typedef struct {
	uint64_t endpoint_id;
	uint64_t fence;        /* fencing token: store revision of the lease that the order is given under */
	const char *action;    /* "load-version" or "load-adapter" */
	const char *target;    /* name of the version or adapter */
	uint64_t weight_bytes; /* size of the weights to load */
} BH__Order;

/* Callbacks for a node's output. The results of calls come back through the functions
 * bh__node_process_*(). */
typedef struct BH__NodePorts {
	void (*send)(struct BH__NodePorts *ports, const char *peer_address, const BH__Message *m);
	void (*attempt_start)(struct BH__NodePorts *ports, const BH__AttemptCall *call);
	void (*attempt_cancel)(struct BH__NodePorts *ports, uint64_t attempt_id, uint64_t endpoint_id);
	/* Requests a load report from an engine. The list of its attempts is long, so it is included only if
	 * `with_attempts` is set. */
	void (*endpoint_poll)(struct BH__NodePorts *ports, uint64_t endpoint_id, uint64_t cache_sequence,
						  bool with_attempts);
	/* Probes whether an endpoint still listens; the result goes to bh__node_process_endpoint_probe(). */
	void (*endpoint_probe)(struct BH__NodePorts *ports, uint64_t endpoint_id);
	void (*endpoint_order)(struct BH__NodePorts *ports, const BH__Order *order);
	void (*answer_chunk)(struct BH__NodePorts *ports, uint64_t request_id, const char *data, size_t len);
	void (*answer_end)(struct BH__NodePorts *ports, uint64_t request_id, const BH__Outcome *outcome);
	void (*event)(struct BH__NodePorts *ports, const BH__Event *event);
} BH__NodePorts;

typedef struct {
	BH__MemberInfo self; /* the node sets node_id to the hash of the name */
	uint32_t seed;
	double store_reads_per_s;  /* sustained limit on reads of the store */
	double store_writes_per_s; /* sustained limit on writes to the store */
	uint32_t max_requests;     /* live requests at which the node refuses new ones */
	uint32_t once_entries;     /* capacity of the idempotency table */
	size_t once_answer_bytes;  /* memory for the answers that the idempotency table keeps */
} BH__NodeOptions;

/* A caller's request. */
typedef struct {
	uint64_t request_id; /* from bh__node_new_request_id() */
	uint64_t account_id;
	const char *model;   /* name of a model or of a service that is not an engine */
	const char *adapter; /* NULL: none */
	uint64_t prompt_bytes;
	uint64_t max_tokens;         /* 0: the caller gives no limit */
	uint64_t deadline_us;        /* time left from now; 0: the policy's default */
	bool repeatable;             /* the request may safely run more than once */
	const char *key;             /* idempotency key of a request that is not repeatable; may be NULL */
	const char *stamp;           /* idempotency stamp from bh__node_get_where(); required with `key` */
	uint64_t body_hash;          /* detects a key that is reused for a different request */
	BH__Fingerprint fingerprint; /* equal in each caller retry of one request; none: unknown */
	BH__PrefixChain prefix;
} BH__Request;

typedef enum {
	BH__ADMIT_ACCEPTED, /* the outcome is delivered through answer_end() */
	BH__ADMIT_REFUSED,  /* `outcome` gives the reason */
	BH__ADMIT_FORWARD,  /* the stamp names another node: forward the request to `forward_address` */
	BH__ADMIT_REPLAY    /* the request finished earlier: `outcome` and `answer` are its result */
} BH__Admission;

/* The result of bh__node_request(). */
typedef struct {
	BH__Admission admission;
	BH__Outcome outcome;                   /* set for a refusal or a replay */
	char message[160];                     /* text that `outcome.message` of a refusal points to */
	char forward_address[BH__ADDRESS_LEN]; /* caller address of the node to forward to */
	/* Answer to replay, valid until the node's next call; NULL if it was too long to keep. */
	const char *answer;
	size_t answer_len;
} BH__AdmissionResult;

#define BH__WHERE_MAX 16

/* The answer to a "where" request: caller addresses of usable nodes, in order of preference. */
typedef struct {
	unsigned count;
	char address[BH__WHERE_MAX][BH__ADDRESS_LEN];
	char stamp[BH__STAMP_LEN]; /* idempotency stamp of the answering node */
	uint32_t ttl_s;            /* how long the caller may use the addresses */
} BH__Where;

/* An entry of the platform's VM list. */
typedef struct {
	char name[BH__NAME_LEN];
	char peer_address[BH__ADDRESS_LEN]; /* empty for a VM that is not a node */
	bool leaving;                       /* the platform's list marks the VM as leaving */
} BH__Vm;

BH__Node *bh__node_new(BH__NodePorts *ports, BH__StorePort *store, const BH__NodeOptions *options);
void bh__node_delete(BH__Node *n);
void bh__node_process_tick(BH__Node *n, uint64_t now_us);
void bh__node_process_message(BH__Node *n, const BH__Message *m, uint64_t now_us);
void bh__node_process_unreachable(BH__Node *n, const char *peer_address, uint64_t now_us);
void bh__node_update_vm_list(BH__Node *n, const BH__Vm *vms, unsigned count, uint64_t now_us);
void bh__node_process_endpoint_probe(BH__Node *n, uint64_t endpoint_id, BH__CrashEvidence evidence,
									 uint64_t now_us);
void bh__node_process_report(BH__Node *n, const BH__LoadReport *report, const char *const *loaded,
							 uint64_t now_us);
void bh__node_process_store_reply(BH__Node *n, const BH__StoreReply *reply, uint64_t now_us);
void bh__node_leave(BH__Node *n, uint64_t now_us);
bool bh__node_is_idle(const BH__Node *n);

/* Callers' requests and the calls made for them. */
uint64_t bh__node_new_request_id(BH__Node *n);
void bh__node_request(BH__Node *n, const BH__Request *r, BH__AdmissionResult *out, uint64_t now_us);
void bh__node_process_caller_gone(BH__Node *n, uint64_t request_id, uint64_t now_us);
void bh__node_process_answer_chunk(BH__Node *n, uint64_t attempt_id, uint64_t offset, const char *data,
								   size_t len, uint64_t now_us);
void bh__node_process_attempt_end(BH__Node *n, uint64_t attempt_id, uint32_t segment, BH__AttemptEnd end,
								  const char *message, uint64_t now_us);
void bh__node_get_where(BH__Node *n, uint64_t caller_id, const char *hall, BH__Where *out);

/* Read access to the node's state, for the daemon's interfaces. */
const BH__Account *bh__node_find_account(const BH__Node *n, const char *key_sha256, uint64_t *account_id,
										 const char **name);
const BH__Catalog *bh__node_get_catalog(const BH__Node *n);
BH__Config *bh__node_get_config(BH__Node *n);
const BH__Members *bh__node_get_members(const BH__Node *n);
const BH__Pool *bh__node_get_pool(const BH__Node *n, uint64_t pool_id);
uint64_t bh__node_get_scheduler(BH__Node *n, uint64_t pool_id);
const BH__PoolDigest *bh__node_get_digest(const BH__Node *n, uint64_t pool_id);
unsigned bh__node_get_pool_ids(const BH__Node *n, uint64_t *out, unsigned max);

/* Totals since the node started, except for `live`. */
typedef struct {
	uint64_t requests;
	uint64_t finished[3]; /* accepted requests that have ended, by verdict */
	uint64_t refused;     /* requests refused at admission */
	uint64_t attempts;
	uint64_t retries;
	uint64_t retries_denied; /* retries prevented by the retry budget, the deadline or the attempt limit */
	uint64_t resumes;
	uint64_t orphans_cancelled;
	uint64_t answer_chunks;         /* answer chunks sent to callers */
	uint64_t dropped_answer_chunks; /* answer chunks dropped: duplicates, or not of a live attempt */
	uint32_t live;                  /* accepted requests that have not ended */
	/* Microseconds from arrival to the first answer chunk, by size class of the prompt. */
	BH__Histogram first_token[BH__SIZE_CLASSES];
	BH__Histogram total_us; /* microseconds from arrival to the end of a complete answer */
} BH__NodeCounters;

const BH__NodeCounters *bh__node_get_counters(const BH__Node *n);
bool bh__node_store_is_up(const BH__Node *n);

#endif
