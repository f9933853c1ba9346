/* SPDX-License-Identifier: BSD-3-Clause */
/* Typed messages between nodes and their encoding: a sequence of msgpack values, fields in order. */
#ifndef BAYHOIST_MESSAGE_H
#define BAYHOIST_MESSAGE_H

#include <glib.h>
#include "bayhoist/catalog.h"
#include "bayhoist/endpoint_signal.h"
#include "bayhoist/hall_paths.h"
#include "bayhoist/hash.h"
#include "bayhoist/packed_text.h"
#include "bayhoist/quarantine.h"
#include "bayhoist/registry.h"
#include "bayhoist/verdict.h"

#define BH__MESSAGE_VERSION 14
#define BH__MESSAGE_UPDATES_MAX 8 /* member records piggybacked on a ping or its ack */
#define BH__MEMBER_PARTITIONS 64  /* partitions of the member table, by the highest bits of the node id */
/* Number of broadcast trees that each update is sent along. An unresponsive node that is not yet known to be
 * dead cuts off the subtree below it; another tree reaches the nodes in that subtree over other nodes. */
#define BH__MESSAGE_UPDATE_TREES 2
#define BH__MESSAGE_SIGNALS_MAX 32 /* endpoint signals in one message */
#define BH__MESSAGE_DIGESTS_MAX 16 /* pool digests piggybacked on a ping or its ack */
#define BH__MESSAGE_LIST_MAX 65536 /* a message with a longer list is rejected as malformed */
#define BH__REQUEST_ID_LEN 80      /* size of the text of a request's id, terminating NUL included */

typedef enum {
	BH__MESSAGE_PING,
	BH__MESSAGE_ACK,
	BH__MESSAGE_PING_REQ,
	BH__MESSAGE_JOIN,
	BH__MESSAGE_MEMBERS,
	BH__MESSAGE_ASK,
	BH__MESSAGE_GRANT,
	BH__MESSAGE_REFUSE,
	BH__MESSAGE_RELEASE,
	BH__MESSAGE_PROGRESS,
	BH__MESSAGE_WITHDRAW,
	BH__MESSAGE_HOLD,
	BH__MESSAGE_ORPHAN,
	BH__MESSAGE_CONFIG_UPDATE,
	BH__MESSAGE_CONFIG_ASK,
	BH__MESSAGE_CONFIG_DATA,
	BH__MESSAGE_QUOTA_ASK,
	BH__MESSAGE_QUOTA_GRANT,
	BH__MESSAGE_QUEUED,
	BH__MESSAGE_SYNC_ASK,
	BH__MESSAGE_SYNC,
	BH__MESSAGE_ITERATION,
	BH__MESSAGE_READER,
	BH__MESSAGE_SUSPECT,
	BH__MESSAGE_QUARANTINE,
	BH__MESSAGE_MEMBER_UPDATE,
	BH__MESSAGE_SIGNALS,
	BH__MESSAGE_PERMIT_ASK,
	BH__MESSAGE_PERMIT,
	BH__MESSAGE_LINKS,
	BH__MESSAGE_HALL_PATHS,
	/* These go over a connection of their own, which carries one request through a peer. */
	BH__MESSAGE_RELAY_OPEN,
	BH__MESSAGE_RELAY_REPLY,
	BH__MESSAGE_RELAY_DATA,
	BH__MESSAGE_RELAY_END,
	BH__MESSAGE_TYPE_COUNT
} BH__MessageType;

extern const char *const BH__MessageTypeString[];

typedef enum {
	BH__MEMBER_ALIVE,
	BH__MEMBER_SUSPECT,
	BH__MEMBER_DEAD,
	BH__MEMBER_STATE_COUNT
} BH__MemberState;

extern const char *const BH__MemberStateString[];

/* Membership record of one node. Of two records of a node the one with the higher boot id wins, then the one
 * with the higher refutation, then the one with the worse state. */
typedef struct {
	uint64_t node_id;
	uint64_t boot_id;
	uint32_t refutation;
	BH__MemberState state;
	bool leaving;
	uint64_t config_revision;
	uint32_t load;     /* requests in progress on the node */
	uint32_t capacity; /* the VM's capacity for duties, in a unit common to all nodes; 0: unknown */
	char name[BH__NAME_LEN];
	char hall[BH__NAME_LEN];
	char peer_address[BH__ADDRESS_LEN];
	char caller_address[BH__ADDRESS_LEN];
} BH__MemberInfo;

/* Summary of a pool's state, computed by the node that schedules it. */
typedef struct {
	uint64_t pool_id;
	uint64_t node_id; /* the scheduler */
	uint64_t sequence;
	uint64_t short_wait_us;
	uint64_t long_wait_us;
	uint64_t kv_total_bytes;
	uint64_t kv_granted_bytes;
	uint32_t endpoints;
	uint32_t queued;
} BH__PoolDigest;

/* Admission request: asks a pool's scheduler for engine memory. All times are durations, since the nodes have
 * no common clock. */
typedef struct {
	uint64_t ask_id; /* globally unique: a hash of the requesting node's boot id and a counter */
	uint64_t pool_id;
	uint64_t node_id;
	uint64_t boot_id;
	uint64_t account_id;
	uint64_t weight; /* scheduling weight, combined from account and priority */
	uint64_t prompt_tokens;
	uint64_t max_tokens;
	uint64_t kv_bytes;
	uint64_t deadline_us; /* time left until the request's deadline */
	uint64_t adapter_id;
	uint64_t first_event_us; /* time left until the first event loses utility; 0: not specified */
	uint64_t event_gap_us;   /* longest gap between events that loses no utility; 0: not specified */
	uint32_t priority_level;
	uint8_t avoid_count;
	uint64_t avoid[BH__AVOID_MAX];
	/* Engines that have asked the requesting node for backoff. Every request carries them, so that a node
	 * that has just become the scheduler knows them too. */
	uint8_t backoff_count;
	uint64_t backoff[BH__BACKOFF_MAX];
	BH__PrefixChain prefix;
} BH__Ask;

typedef struct {
	uint64_t endpoint_id;
	uint64_t kv_bytes;    /* memory granted on this engine, in tokens if the engine counts in tokens */
	uint64_t first_token; /* first token of this engine's segment of the prompt */
	uint64_t token_count;
} BH__GrantMember;

/* Engine memory granted to an admission request. The last member generates the answer. The grant's id is also
 * the id of the attempt. */
typedef struct {
	uint64_t grant_id;
	uint64_t ask_id;
	uint64_t pool_id;
	uint64_t node_id;
	uint64_t boot_id;
	uint32_t priority_level;
	bool is_long;
	bool reports_progress; /* the scheduler asks for a progress message when a prefill is done */
	bool has_first_event;  /* the first event of the answer has been received */
	uint64_t event_gap_us;
	uint64_t expected_us; /* predicted time from the grant to the answer's first event; 0: not predicted */
	uint64_t age_us;      /* time since the grant was given, when it is reported later */
	uint8_t member_count;
	BH__GrantMember member[BH__GRANT_MEMBERS_MAX];
} BH__Grant;

typedef enum {
	BH__RELEASE_DONE,
	BH__RELEASE_FAILED,  /* the engine broke off the request or was unreachable */
	BH__RELEASE_REFUSED, /* the engine rejected the request for lack of memory */
	BH__RELEASE_UNUSED,
	BH__RELEASE_LOST /* the connection broke before an answer; the engines may still run the request */
} BH__ReleaseKind;

extern const char *const BH__ReleaseKindString[];

typedef struct {
	uint64_t account_id;
	double rate; /* tokens per second: requested in an ask, allowed in a grant */
	double held; /* tokens per second that the requesting node currently has */
} BH__QuotaEntry;

typedef struct {
	uint8_t chunk;
	char *text;
} BH__ConfigChunk;

/* Ring range that the receiver of a broadcast message forwards it to: the nodes whose ids lie between `first`
 * and `last` on the ring of node ids. */
typedef struct {
	uint64_t first;
	uint64_t last;
	/* broadcast tree that the message travels along, from 0; each tree routes over different nodes */
	uint8_t tree_index;
} BH__MessageRange;

/* What a node knows of a signal that an endpoint sends in its answers. */
typedef struct {
	BH__SignalKind kind;
	uint64_t endpoint_id;
	uint64_t born_ms; /* start time of the incarnation that sent the signal, by the endpoint's clock */
	bool in_force;    /* limit: false if the endpoint no longer advertises one; silence: false if it ended */
	double per_s;     /* limit: requests per second; silence: duration in seconds for which it is declared */
	/* backoff: time left until it ends; limit: time since the answer that advertised it was read; silence:
	 * time since it began or, in a report, since the overdue request was sent; if it ended, since something
	 * was heard */
	uint64_t time_us;
} BH__SignalUpdate;

/* Why a node does not connect to an endpoint for a peer. */
typedef enum {
	BH__RELAY_OPENED,            /* it has connected */
	BH__RELAY_ENDPOINT_REFUSED,  /* the endpoint's VM refused the connection */
	BH__RELAY_ENDPOINT_SILENT,   /* no answer came in time */
	BH__RELAY_ENDPOINT_UNUSABLE, /* the endpoint is not registered, is leaving, or wants a backoff */
	/* the node could not connect, and to no other endpoint since it last connected to one */
	BH__RELAY_NODE_DOUBTFUL,
	BH__RELAY_NODE_CUT,     /* the node has lost its own links */
	BH__RELAY_NODE_FULL,    /* the node has as much to do for peers as it bears */
	BH__RELAY_NODE_LEAVING, /* the node stops */
	BH__RELAY_RESULT_COUNT
} BH__RelayResult;

extern const char *const BH__RelayResultString[];

typedef struct {
	BH__MessageType type;
	uint64_t from_node;
	uint64_t from_boot;
	union {
		struct {
			uint64_t sequence;
			BH__MemberInfo self;
			uint64_t quarantine_hash; /* hash of the quarantine entries that all nodes share */
			uint8_t update_count;
			BH__MemberInfo update[BH__MESSAGE_UPDATES_MAX];
			uint8_t digest_count;
			BH__PoolDigest digest[BH__MESSAGE_DIGESTS_MAX];
		} ping; /* also an ack message */
		struct {
			uint64_t sequence;
			uint64_t target_node;
		} ping_req;
		struct {
			BH__MemberInfo self;
			uint64_t partition_hash[BH__MEMBER_PARTITIONS]; /* of the live members, by partition */
		} join;
		struct {
			/* `member` lists all members of `parts`; a receiver that knows more of them replies with those */
			bool answers_join;
			uint64_t partitions; /* bit set of partitions, the lowest bit for the first */
			uint32_t count;
			BH__MemberInfo *member;
		} members;
		BH__MessageRange range; /* common initial member of all broadcast messages */
		struct {
			BH__MessageRange range;
			BH__MemberInfo member;
		} member_update;
		struct {
			BH__MessageRange range; /* empty if the message is for the receiver only */
			bool for_all;           /* asks the receiver to broadcast the signals to all other nodes */
			uint8_t count;
			BH__SignalUpdate item[BH__MESSAGE_SIGNALS_MAX];
		} signals;
		BH__Ask ask;
		BH__Grant grant;
		struct {
			uint64_t ask_id;
			uint64_t pool_id;
			BH__Reason reason;
			uint64_t retry_after_ms;
		} refuse;
		struct {
			uint64_t pool_id;
			uint64_t grant_id; /* in a withdraw message, the id of the ask */
			BH__ReleaseKind kind;
			uint64_t failed_endpoint;
			uint64_t iteration_us; /* in an iteration message, duration of the ended iteration; else 0 */
			uint64_t backoff_us;   /* backoff that the failed engine has asked for; 0: none */
		} release;                 /* also progress, iteration, withdraw and queued messages */
		struct {
			uint64_t pool_id;
			bool full;        /* `grant` holds complete grants; otherwise only their ids are set */
			bool is_complete; /* `grant` lists the grants of all nodes, as the previous scheduler knew them */
			uint32_t count;
			BH__Grant *grant;
		} hold;
		struct {
			uint64_t endpoint_id;
			uint64_t attempt_id;
		} orphan;
		struct {
			uint64_t revision;
			bool has_hashes;
			uint64_t chunk_hash[BH__CHUNK_COUNT];
		} config_ask; /* also a configuration update message, which has no hashes */
		struct {
			char *head;
			uint32_t count;
			BH__ConfigChunk *chunk;
		} config_data;
		struct {
			uint32_t count;
			BH__QuotaEntry *entry;
		} quota;
		/* Platform state and its age: in a sync request, what the requester knows; in the response, what the
		 * responder sends it. The requester adds the ages to the time at which it sent the request, by its
		 * own clock, so that a response delayed on the network or in a queue does not make state look fresher
		 * than it is. */
		struct {
			uint64_t asked_us; /* send time of the request by the requester's clock; echoed in the response */
			/* in a request, how long the responder may hold it until it has changes to send; in a response,
			 * how long the request was held */
			uint64_t hold_time_us;
			uint64_t configuration_version;
			uint64_t configuration_age_us;
			BH__PackedText configuration;   /* as read from the platform, if newer than the requester's */
			BH__StoreVersion store_version; /* store version up to which all endpoint changes are known */
			/* store version at which the era of `place` began; the zero version if the sender did not see it
			 * begin */
			BH__StoreVersion era_start;
			uint64_t registry_age_us;
			uint64_t reader; /* in a response: the node whose platform read the registry reflects */
			/* in a request: the requester knows that the platform is unavailable; in a response: the platform
			 * did not answer the responder, which reads it for other nodes */
			bool platform_unavailable;
			bool is_complete; /* `fact` lists all existing endpoints, not only the changed ones */
			uint32_t count;
			BH__EndpointRecord *fact;
			uint32_t gone_count;
			BH__EndpointDeparture *gone;
			uint32_t hall_count; /* halls that the sender knows to be draining or to have been drained */
			BH__HallDrain *hall;
		} sync; /* a reader message holds only `reader`, the node that reads the platform for all */
		/* Outcome of a request that may crash endpoints, sent to the node that evaluates crashes: either its
		 * endpoint broke it off, or it was served. */
		struct {
			BH__QuarantineEvent event;
			uint64_t endpoint_id;     /* the endpoint that broke it off */
			BH__CrashSuspect suspect; /* the request, or the subject that was served */
			uint64_t service_id;      /* of the next fields */
			BH__PromptParts parts;    /* parts of the request that may be the cause */
		} suspect;
		/* Asks the home node of a rate-limited endpoint for a permit to send a request there. */
		struct {
			uint64_t ask_id;
			uint64_t max_wait_us; /* longest time that the request may wait for the permit */
			BH__SignalUpdate limit;
		} permit_ask;
		struct {
			uint64_t ask_id;
			bool granted;
			/* if granted, the wait before the request is sent; otherwise, the wait before the next ask */
			uint64_t wait_us;
		} permit;
		/* Broadcast by a node when it loses its links to the endpoints, and again while that lasts. */
		struct {
			BH__MessageRange range;
			uint64_t node_id;
			bool is_cut;
		} links;
		/* Broadcast by a node that reports a path to another hall as lost, and again while it is. */
		struct {
			BH__MessageRange range;
			BH__PathReport report;
		} hall_paths;
		/* Asks a peer to connect to an endpoint and to pass bytes both ways. */
		struct {
			uint64_t endpoint_id;
			uint64_t time_us;       /* for connecting */
			bool is_probe;          /* no request follows */
			uint64_t request_bytes; /* that follow */
			char request_id[BH__REQUEST_ID_LEN];
		} relay_open;
		struct {
			BH__RelayResult result;
		} relay_reply;
		struct {
			char *bytes;
			uint32_t len;
		} relay_data;
		/* The endpoint has closed the connection after it took the whole request, or it broke. */
		struct {
			bool is_clean;
		} relay_end;
		struct {
			uint32_t count;
			BH__QuarantineEntry *entry; /* `since_us` holds an age, since the nodes have no common clock */
		} quarantine;
	} as;
} BH__Message;

/* Encodes `m`. Returns a buffer that the caller releases with free(), and stores its length in `len`. */
char *bh__message_encode(const BH__Message *m, size_t *len);
/* Decodes one message into `m`, which the caller releases with bh__message_finish(), also after a failure.
 * Returns false and sets `error` if the message is malformed. */
bool bh__message_decode(BH__Message *m, const char *data, size_t len, GError **error);
void bh__message_finish(BH__Message *m);

#endif
