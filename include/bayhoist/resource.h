/* SPDX-License-Identifier: BSD-3-Clause */
/* Operators' resources: their kinds, typed specs and validation. */
#ifndef BAYHOIST_RESOURCE_H
#define BAYHOIST_RESOURCE_H

#include "bayhoist/field.h"

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

typedef struct {
	uint64_t kv_bytes_per_token;
	uint64_t bytes_per_token; /* mean bytes of text a token, for estimates */
	uint64_t context_tokens;  /* longest prompt */
	bool service;             /* a plain HTTP service rather than a model */
} BH__Model;

typedef struct {
	char model[BH__NAME_LEN];
	uint64_t weight_bytes;
} BH__Version;

typedef struct {
	char model[BH__NAME_LEN];
	uint64_t weight_bytes;
} BH__Adapter;

typedef struct {
	bool serves_short; /* takes prompts up to the policy's long_tokens */
	bool serves_long;  /* takes longer ones */
} BH__Role;

typedef struct {
	uint64_t weight;       /* share among accounts under overload */
	uint64_t tokens_per_s; /* rate over the whole fleet; 0 is unlimited */
	uint64_t burst_tokens;
	char priority[BH__NAME_LEN];
	char **key_sha256; /* lower-case hex of the hashes of its API keys */
	bool is_operator;
} BH__Account;

typedef struct {
	uint64_t weight; /* multiplies the account's weight */
	uint64_t level;  /* handed to engines; lower runs first */
} BH__Priority;

typedef struct {
	char address[BH__ADDRESS_LEN];
	char hall[BH__NAME_LEN];
	char role[BH__NAME_LEN];
	char model[BH__NAME_LEN];
	char version[BH__NAME_LEN]; /* desired version; empty leaves it alone */
	char **adapters;
	uint64_t kv_bytes;    /* memory for KV cache */
	uint64_t max_streams; /* most requests at a time */
	bool fenced;          /* checks the fencing token of orders */
	bool leaving;         /* to receive no new work */
	bool tls;
	uint64_t pool_id; /* of its hall and model; not a field of the spec */
} BH__Endpoint;

typedef struct {
	uint64_t long_tokens; /* prompts above this are long */
	double long_share;    /* most of a pool's engines that work on long prompts at a time */
	double min_long_share;
	double hall_penalty_ms; /* cost of another data hall */
	uint64_t queue_max;     /* most requests a pool keeps waiting */
	uint64_t default_deadline_ms;
	double retry_share; /* retries as a share of first attempts */
} BH__Policy;

/* A data hall, by its name. */
typedef struct {
	bool draining; /* its endpoints, those that are added later too, are to receive no new work */
} BH__Hall;

typedef struct {
	BH__Kind kind;
	char name[BH__NAME_LEN];
	uint64_t id; /* hash of the name */
	uint64_t generation;
	char *spec_json;
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
	} as;
} BH__Resource;

BH__Resource *bh__resource_new(BH__Kind kind, const char *name, struct json_object *spec, GError **error);
void bh__resource_delete(BH__Resource *r);
bool bh__kind_parse(const char *text, BH__Kind *kind);
void bh__policy_init(BH__Policy *policy);

#endif
