/* SPDX-License-Identifier: BSD-3-Clause */
/* Resources that operators configure: kinds, typed specs and validation. */
#ifndef BAYHOIST_RESOURCE_H
#define BAYHOIST_RESOURCE_H

#include "bayhoist/field.h"

/* Kind of a resource. */
typedef enum {
	BH__KIND_MODEL,
	BH__KIND_VERSION,
	BH__KIND_ADAPTER,
	BH__KIND_ROLE,
	BH__KIND_ACCOUNT,
	BH__KIND_PRIORITY,
	BH__KIND_ENDPOINT,
	BH__KIND_POLICY,
	BH__KIND_HALL,
	BH__KIND_COUNT
} BH__Kind;

extern const char *const BH__KindString[];

/* A model, or a plain HTTP service. */
typedef struct {
	uint64_t kv_bytes_per_token; /* KV cache bytes that one token takes */
	uint64_t bytes_per_token;    /* mean length of a token's text, bytes; used for estimates */
	uint64_t context_tokens;     /* longest prompt, tokens */
	bool service;                /* a plain HTTP service rather than a model */
} BH__Model;

/* A version of a model's weights. */
typedef struct {
	char model[BH__NAME_LEN];
	uint64_t weight_bytes; /* size of the weights */
} BH__Version;

/* An adapter of a model. */
typedef struct {
	char model[BH__NAME_LEN];
	uint64_t weight_bytes; /* size of the weights */
} BH__Adapter;

/* The prompts that an endpoint accepts. */
typedef struct {
	bool serves_short; /* accepts prompts of at most the policy's `long_tokens` */
	bool serves_long;  /* accepts longer prompts */
} BH__Role;

/* A client account. */
typedef struct {
	uint64_t weight;             /* relative share of the account under overload */
	uint64_t tokens_per_s;       /* rate limit over the whole fleet; 0: unlimited */
	uint64_t burst_tokens;       /* token bucket capacity; raised to a minimum burst at the rate if smaller */
	char priority[BH__NAME_LEN]; /* name of a priority; empty: none */
	char **key_sha256;           /* SHA-256 hashes of the API keys, lower-case hexadecimal; NULL: none */
	bool is_operator;            /* field `operator` of the spec */
} BH__Account;

/* A priority class of accounts. */
typedef struct {
	uint64_t weight; /* factor applied to the account's weight */
	uint64_t level;  /* passed to the engines, which run lower levels first */
} BH__Priority;

/* An endpoint. */
typedef struct {
	char address[BH__ADDRESS_LEN]; /* IP:port */
	char hall[BH__NAME_LEN];
	char role[BH__NAME_LEN]; /* name of a role; empty: none */
	char model[BH__NAME_LEN];
	char version[BH__NAME_LEN]; /* desired version; empty: the version is not managed */
	char **adapters;            /* names of adapters; NULL: none */
	uint64_t kv_bytes;          /* memory for the KV cache */
	uint64_t max_streams;       /* maximum number of concurrent requests */
	bool fenced;                /* verifies the fencing token of orders */
	bool leaving;               /* receives no new work */
	bool tls;                   /* is reached over TLS */
	uint64_t pool_id;           /* derived from hall and model; not a field of the spec */
} BH__Endpoint;

/* Scheduling and retry policy. */
typedef struct {
	uint64_t long_tokens;   /* prompts with more tokens count as long */
	double long_share;      /* maximum share of a pool's engines that process long prompts concurrently */
	double min_long_share;  /* minimum of that share */
	double hall_penalty_ms; /* added to the cost of a pool in another data hall */
	uint64_t queue_max;     /* maximum number of waiting requests of a pool */
	uint64_t default_deadline_ms; /* time that a request without a deadline of its own has */
	double retry_share;           /* maximum ratio of retries to first attempts */
} BH__Policy;

/* A data hall. */
typedef struct {
	bool draining; /* its endpoints receive no new work, including those that are added later */
} BH__Hall;

/* A resource with its spec, decoded and as text. */
typedef struct {
	BH__Kind kind;
	char name[BH__NAME_LEN];
	uint64_t id;         /* hash of the name */
	uint64_t generation; /* starts at 1 and grows with each change of the spec */
	char *spec_json;     /* the spec as compact JSON, owned */
	union {
		BH__Model model;
		BH__Version version;
		BH__Adapter adapter;
		BH__Role role;
		BH__Account account;
		BH__Priority priority;
		BH__Endpoint endpoint;
		BH__Policy policy;
		BH__Hall hall;
	} as; /* the spec; `kind` selects the member */
} BH__Resource;

BH__Resource *bh__resource_new(BH__Kind kind, const char *name, struct json_object *spec, GError **error);
void bh__resource_delete(BH__Resource *r);
bool bh__kind_parse(const char *text, BH__Kind *kind);
void bh__policy_init(BH__Policy *policy);

#endif
