/* SPDX-License-Identifier: BSD-3-Clause */
/* Typed messages between nodes and their encoding (msgpack arrays, fields in order). */
#ifndef BAYHOIST_MESSAGE_H
#define BAYHOIST_MESSAGE_H

#include <glib.h>
#include "bayhoist/catalog.h"
#include "bayhoist/endpoint_signal.h"
#include "bayhoist/hash.h"
#include "bayhoist/packed_text.h"
#include "bayhoist/quarantine.h"
#include "bayhoist/registry.h"
#include "bayhoist/verdict.h"

#define BH__MESSAGE_VERSION 10
#define BH__MESSAGE_UPDATES_MAX 8 /* member records that ride on a ping or its answer */
#define BH__MEMBER_PARTS 64       /* of the table of members, by the highest bits of node ids */
/* Times that news goes to all, over other nodes each time: one that is silent and not yet known to be keeps
 * it from those whom it was to tell. */
#define BH__MESSAGE_NEWS_WAYS 2
#define BH__MESSAGE_SIGNALS_MAX 32 /* signals of endpoints in one message */
#define BH__MESSAGE_DIGESTS_MAX 16 /* pool digests that ride on a ping or its answer */
#define BH__MESSAGE_LIST_MAX 65536 /* longest list that is accepted */

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
	BH__MESSAGE_CONFIG_NEWS,
	BH__MESSAGE_CONFIG_ASK,
	BH__MESSAGE_CONFIG_DATA,
	BH__MESSAGE_QUOTA_ASK,
	BH__MESSAGE_QUOTA_GRANT,
	BH__MESSAGE_QUEUED,
	BH__MESSAGE_LOOK_ASK,
	BH__MESSAGE_LOOK,
	BH__MESSAGE_PASS,
	BH__MESSAGE_READER,
	BH__MESSAGE_SUSPECT,
	BH__MESSAGE_QUARANTINE,
	BH__MESSAGE_NEWS,
	BH__MESSAGE_SIGNALS,
	BH__MESSAGE_PERMIT_ASK,
	BH__MESSAGE_PERMIT,
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

/* What is said of one node. A higher boot id wins, then a higher refutation, then the worse state. */
typedef struct {
	uint64_t node_id;
	uint64_t boot_id;
	uint32_t refutation;
	BH__MemberState state;
	bool leaving;
	uint64_t config_revision;
	uint32_t load;     /* live requests */
	uint32_t capacity; /* what the VM has for duties, in a unit that is the same on all; 0: not known */
	char name[BH__NAME_LEN];
	char hall[BH__NAME_LEN];
	char peer_address[BH__ADDRESS_LEN];
	char caller_address[BH__ADDRESS_LEN];
} BH__MemberInfo;

/* A pool's state as its scheduler saw it. */
typedef struct {
	uint64_t pool_id;
	uint64_t node_id; /* of the scheduler */
	uint64_t sequence;
	uint64_t short_wait_us;
	uint64_t long_wait_us;
	uint64_t kv_total_bytes;
	uint64_t kv_granted_bytes;
	uint32_t endpoints;
	uint32_t queued;
} BH__PoolDigest;

/* A request for engine memory. Times are lengths, since nodes share no clock. */
typedef struct {
	uint64_t ask_id; /* unique for ever: a hash of the asking node's boot id and a count */
	uint64_t pool_id;
	uint64_t node_id;
	uint64_t boot_id;
	uint64_t account_id;
	uint64_t weight; /* of account and priority together */
	uint64_t prompt_tokens;
	uint64_t max_tokens;
	uint64_t kv_bytes;
	uint64_t deadline_us; /* time left */
	uint64_t adapter_id;
	uint64_t first_event_us; /* time left in which the first event is of full use; 0: not said */
	uint64_t event_gap_us;   /* longest pause between events that is of full use; 0: not said */
	uint32_t priority_level;
	uint8_t avoid_count;
	uint64_t avoid[BH__AVOID_MAX];
	/* Engines that have asked the node for backoff. They go with each ask, so that whoever grants it
	 * knows them, also one that has just become the scheduler. */
	uint8_t backoff_count;
	uint64_t backoff[BH__BACKOFF_MAX];
	BH__PrefixChain prefix;
} BH__Ask;

typedef struct {
	uint64_t endpoint_id;
	uint64_t kv_bytes;    /* memory that the grant holds there; tokens where engines count in tokens */
	uint64_t first_token; /* of the part of the prompt that this engine holds */
	uint64_t token_count;
} BH__GrantMember;

/* Engine memory granted to an ask; the last member generates the answer. The grant's id is the attempt's. */
typedef struct {
	uint64_t grant_id;
	uint64_t ask_id;
	uint64_t pool_id;
	uint64_t node_id;
	uint64_t boot_id;
	uint32_t priority_level;
	bool is_long;
	bool tells_progress; /* the scheduler wants to hear when a prefill is done */
	bool writes;         /* the answer's first event has come */
	uint64_t event_gap_us;
	uint64_t expected_us; /* from the grant to the answer's first event, as foretold; 0: not foretold */
	uint64_t age_us;      /* since it was given, where it is told of later */
	uint8_t member_count;
	BH__GrantMember member[BH__GRANT_MEMBERS_MAX];
} BH__Grant;

typedef enum {
	BH__RELEASE_DONE,
	BH__RELEASE_FAILED,  /* the engine broke off or could not be reached */
	BH__RELEASE_REFUSED, /* the engine refused for lack of memory */
	BH__RELEASE_UNUSED,
	BH__RELEASE_LOST /* the connection broke before an answer: the engines may go on with the request */
} BH__ReleaseKind;

typedef struct {
	uint64_t account_id;
	double rate; /* tokens a second: wanted in an ask, allowed in a grant */
	double held; /* rate that the asker holds now */
} BH__QuotaEntry;

typedef struct {
	uint8_t chunk;
	char *text;
} BH__ConfigChunk;

/* Nodes that whoever gets a message is to tell it: those whose ids lie on an arc of the ring of all ids. */
typedef struct {
	uint64_t first;
	uint64_t last;
	uint8_t way; /* news that goes to all more than once goes over other nodes each time */
} BH__MessageArc;

/* What a node has heard of a signal that an endpoint gives in its answers. */
typedef struct {
	BH__SignalKind kind;
	uint64_t endpoint_id;
	uint64_t born_ms; /* of the endpoint's start that it holds for */
	bool in_force;    /* of a limit: false if an answer has named none */
	double per_s;     /* of a limit */
	/* of a backoff, what is left of it; of a limit, since the answer was read */
	uint64_t time_us;
} BH__SignalNews;

typedef struct {
	BH__MessageType type;
	uint64_t from_node;
	uint64_t from_boot;
	union {
		struct {
			uint64_t sequence;
			BH__MemberInfo self;
			uint64_t quarantine_hash; /* of the entries that all nodes are to know alike */
			uint8_t update_count;
			BH__MemberInfo update[BH__MESSAGE_UPDATES_MAX];
			uint8_t digest_count;
			BH__PoolDigest digest[BH__MESSAGE_DIGESTS_MAX];
		} ping; /* also ack */
		struct {
			uint64_t sequence;
			uint64_t target_node;
		} ping_req;
		struct {
			BH__MemberInfo self;
			uint64_t part_hash[BH__MEMBER_PARTS]; /* of what the sender knows of live members */
		} join;
		struct {
			bool answers_join; /* all members of some parts; whoever knows more of these tells that */
			uint64_t parts;    /* a bit for each, the lowest for the first */
			uint32_t count;
			BH__MemberInfo *member;
		} members;
		BH__MessageArc arc; /* of each message that goes to all: it stands first there */
		struct {
			BH__MessageArc arc;
			BH__MemberInfo member;
		} news;
		struct {
			BH__MessageArc arc; /* empty if only the receiver is told */
			bool for_all;       /* the receiver is to tell all others */
			uint8_t count;
			BH__SignalNews item[BH__MESSAGE_SIGNALS_MAX];
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
			uint64_t grant_id; /* of the ask in a withdrawal */
			BH__ReleaseKind kind;
			uint64_t failed_endpoint;
			uint64_t pass_us; /* length of the engine's pass that has just ended; 0 but in a pass message */
			uint64_t backoff_us; /* for which the engine that failed has asked; 0: it has not */
		} release;               /* also progress, pass, withdraw and queued */
		struct {
			uint64_t pool_id;
			bool full;  /* `grant` is whole; otherwise only the ids are set */
			bool whole; /* all nodes' grants are there, as the scheduler of before knew them */
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
		} config_ask; /* also config_news, without hashes */
		struct {
			char *head;
			uint32_t count;
			BH__ConfigChunk *chunk;
		} config_data;
		struct {
			uint32_t count;
			BH__QuotaEntry *entry;
		} quota;
		/* What a node knows of the platform, and how old that is: in a question what the asker knows, in the
		 * answer what it is told. The asker counts from when it asked, by its own clock, so that a message
		 * which is late on its way, or read late, does not make the ages younger. */
		struct {
			uint64_t asked_us; /* by the asker's clock; comes back in the answer */
			/* for which the question may be kept until there is news, or was kept before it was answered */
			uint64_t held_us;
			uint64_t configuration_version;
			uint64_t configuration_age_us;
			BH__PackedText configuration; /* one that is newer than the asker's, as the platform told it */
			BH__Place place;              /* up to which all changes of endpoints are known */
			BH__Place era_start;          /* where the era of that began, if the sender has seen it begin */
			uint64_t registry_age_us;
			uint64_t reader; /* in an answer: the node whose look at the platform the registry shows */
			/* in a question: the asker knows that the platform is away; in an answer: it did not answer the
			 * node that is asked, which reads it for others */
			bool lost;
			bool whole; /* the facts below are of all endpoints that there are, not only of those that changed
						 */
			uint32_t count;
			BH__EndpointFact *fact;
			uint32_t gone_count;
			BH__EndpointDeparture *gone;
			uint32_t hall_count; /* all that the sender knows to drain, or to have drained */
			BH__HallDrain *hall;
		} look; /* in a reader message: only the reader, who reads the platform for all */
		/* What happened to a request that may crash endpoints, for the node which judges that: its endpoint
		 * broke it off, or it was served. */
		struct {
			BH__QuarantineEvent event;
			uint64_t endpoint_id; /* that broke it off */
			BH__CrashSuspect suspect;
		} suspect;
		/* A node asks the home of a limited endpoint for leave to send a request there. */
		struct {
			uint64_t ask_id;
			uint64_t patience_us; /* for which the request may be held back */
			BH__SignalNews limit;
		} permit_ask;
		struct {
			uint64_t ask_id;
			bool granted;
			uint64_t wait_us; /* after which it is to be sent, or else one may ask again */
		} permit;
		struct {
			uint32_t count;
			BH__QuarantineEntry *entry; /* `since_us` is the age, since nodes share no clock */
		} quarantine;
	} as;
} BH__Message;

/* Encodes `m`; returns a buffer to free with free(), and its length. */
char *bh__message_encode(const BH__Message *m, size_t *len);
bool bh__message_decode(BH__Message *m, const char *data, size_t len, GError **error);
void bh__message_finish(BH__Message *m);

#endif
