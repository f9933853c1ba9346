/* SPDX-License-Identifier: BSD-3-Clause */
/* Field tables of the resource kinds, and construction of a resource from its spec. */
#include "bayhoist/resource.h"

#include <string.h>
#include "bayhoist/address.h"
#include "bayhoist/hash.h"
#include "bayhoist/pool.h"

#define MAX_BYTES_ (UINT64_C(1) << 50) /* bound of memory sizes, bytes */

const char *const BH__KindString[] = {"model",    "version",  "adapter", "role", "account",
									  "priority", "endpoint", "policy",  "hall"};

static const BH__Field ModelFields_[] = {
	BH__U64_FIELD(BH__Model, kv_bytes_per_token, false, 0, 1 << 24),
	BH__U64_FIELD(BH__Model, bytes_per_token, false, 1, 64),
	BH__U64_FIELD(BH__Model, context_tokens, false, 1, 100000000),
	BH__BOOL_FIELD(BH__Model, service),
};
static const BH__Field VersionFields_[] = {
	BH__STRING_FIELD(BH__Version, model, true),
	BH__U64_FIELD(BH__Version, weight_bytes, false, 0, MAX_BYTES_),
};
static const BH__Field AdapterFields_[] = {
	BH__STRING_FIELD(BH__Adapter, model, true),
	BH__U64_FIELD(BH__Adapter, weight_bytes, false, 0, MAX_BYTES_),
};
static const BH__Field RoleFields_[] = {BH__BOOL_FIELD(BH__Role, serves_short),
										BH__BOOL_FIELD(BH__Role, serves_long)};
static const BH__Field AccountFields_[] = {
	BH__U64_FIELD(BH__Account, weight, false, 1, 1000000),
	BH__U64_FIELD(BH__Account, tokens_per_s, false, 0, 1000000000),
	BH__U64_FIELD(BH__Account, burst_tokens, false, 0, 1000000000000),
	BH__STRING_FIELD(BH__Account, priority, false),
	BH__LIST_FIELD(BH__Account, key_sha256, 16),
	{"operator", BH__FIELD_BOOL, offsetof(BH__Account, is_operator), false, 0, 0},
};
static const BH__Field PriorityFields_[] = {
	BH__U64_FIELD(BH__Priority, weight, false, 1, 1000),
	BH__U64_FIELD(BH__Priority, level, false, 0, 100),
};
static const BH__Field EndpointFields_[] = {
	BH__STRING_FIELD(BH__Endpoint, address, true),
	BH__STRING_FIELD(BH__Endpoint, hall, true),
	BH__STRING_FIELD(BH__Endpoint, role, false),
	BH__STRING_FIELD(BH__Endpoint, model, true),
	BH__STRING_FIELD(BH__Endpoint, version, false),
	BH__LIST_FIELD(BH__Endpoint, adapters, 64),
	BH__U64_FIELD(BH__Endpoint, kv_bytes, false, 0, MAX_BYTES_),
	BH__U64_FIELD(BH__Endpoint, max_streams, false, 1, 100000),
	BH__BOOL_FIELD(BH__Endpoint, fenced),
	BH__BOOL_FIELD(BH__Endpoint, leaving),
	BH__BOOL_FIELD(BH__Endpoint, tls),
};
static const BH__Field PolicyFields_[] = {
	BH__U64_FIELD(BH__Policy, long_tokens, false, 1, 100000000),
	BH__REAL_FIELD(BH__Policy, long_share, 0, 1),
	BH__REAL_FIELD(BH__Policy, min_long_share, 0, 1),
	BH__REAL_FIELD(BH__Policy, hall_penalty_ms, 0, 60000),
	BH__U64_FIELD(BH__Policy, queue_max, false, 1, 10000000),
	BH__U64_FIELD(BH__Policy, default_deadline_ms, false, 1, 86400000),
	BH__REAL_FIELD(BH__Policy, retry_share, 0, 10),
};
static const BH__Field HallFields_[] = {BH__BOOL_FIELD(BH__Hall, draining)};

typedef struct {
	const BH__Field *fields;
	size_t count;
} FieldTable_;

#define TABLE_(T)                                                                                            \
	{                                                                                                        \
		T, G_N_ELEMENTS(T)                                                                                   \
	}
static const FieldTable_ Tables_[BH__KIND_COUNT] = {
	TABLE_(ModelFields_),    TABLE_(VersionFields_), TABLE_(AdapterFields_),
	TABLE_(RoleFields_),     TABLE_(AccountFields_), TABLE_(PriorityFields_),
	TABLE_(EndpointFields_), TABLE_(PolicyFields_),  TABLE_(HallFields_),
};

static void set_defaults_(BH__Resource *r);
static bool check_name_(const char *name, GError **error);
static bool check_address_(const BH__Resource *r, GError **error);

/* Converts the name of a kind. Returns false and leaves `kind` unchanged if the name is unknown. */
bool bh__kind_parse(const char *text, BH__Kind *kind)
{
	for (int k = 0; k < BH__KIND_COUNT; k++) {
		if (!strcmp(text, BH__KindString[k])) {
			*kind = (BH__Kind)k;
			return true;
		}
	}
	return false;
}

/* Initializes `policy` with the defaults that apply if no policy is configured. */
void bh__policy_init(BH__Policy *policy)
{
	policy->long_tokens = 102400;
	policy->long_share = 0.75;
	policy->min_long_share = 0.2;
	policy->hall_penalty_ms = 3;
	policy->queue_max = 10000;
	policy->default_deadline_ms = 120000;
	policy->retry_share = 0.1;
}

/* Creates a resource of generation 1 from its spec; the caller frees it with bh__resource_delete(). If the
 * name or the spec is invalid, returns NULL and sets an error that names the field and the cause. */
BH__Resource *bh__resource_new(BH__Kind kind, const char *name, struct json_object *spec, GError **error)
{
	BH__Resource *r;
	char where[BH__NAME_LEN * 2];

	if (!check_name_(name, error))
		return NULL;
	r = g_new0(BH__Resource, 1);
	r->kind = kind;
	g_strlcpy(r->name, name, sizeof r->name);
	r->id = bh__hash_name(name);
	r->generation = 1;
	set_defaults_(r);
	g_snprintf(where, sizeof where, "%s \"%s\"", BH__KindString[kind], name);
	if (!bh__fields_decode(Tables_[kind].fields, Tables_[kind].count, spec, where, &r->as, error) ||
		(kind == BH__KIND_ENDPOINT && !check_address_(r, error))) {
		bh__resource_delete(r);
		return NULL;
	}
	if (kind == BH__KIND_ENDPOINT)
		r->as.endpoint.pool_id = bh__pool_get_id(r->as.endpoint.hall, r->as.endpoint.model);
	r->spec_json = g_strdup(json_object_to_json_string_ext(spec, JSON_C_TO_STRING_PLAIN));
	return r;
}

/* Returns false with an error if the name is empty, too long or holds a character that is not permitted. */
static bool check_name_(const char *name, GError **error)
{
	size_t len = strlen(name);

	if (len && len < BH__NAME_LEN &&
		len == strspn(name, "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-_."))
		return true;
	g_set_error(error, BH__INPUT_ERROR, BH__INPUT_ERROR_FIELD,
				"field \"name\": must be 1 to %d letters, digits, '-', '_' or '.'", BH__NAME_LEN - 1);
	return false;
}

/* Returns false with an error unless the endpoint's address ends in a colon and a port number. */
static bool check_address_(const BH__Resource *r, GError **error)
{
	char ip[BH__ADDRESS_LEN];
	uint16_t port;

	if (bh__address_split(r->as.endpoint.address, ip, sizeof ip, &port))
		return true;
	g_set_error(error, BH__INPUT_ERROR, BH__INPUT_ERROR_FIELD,
				"endpoint \"%s\": field \"address\": must be IP:port", r->name);
	return false;
}

/* Sets the optional fields of a spec whose default is not 0. */
static void set_defaults_(BH__Resource *r)
{
	switch (r->kind) {
	case BH__KIND_MODEL:
		r->as.model.kv_bytes_per_token = 1;
		r->as.model.bytes_per_token = 4;
		r->as.model.context_tokens = 1100000;
		break;
	case BH__KIND_ROLE:
		r->as.role.serves_short = true;
		r->as.role.serves_long = true;
		break;
	case BH__KIND_ACCOUNT:
		r->as.account.weight = 1;
		break;
	case BH__KIND_PRIORITY:
		r->as.priority.weight = 1;
		break;
	case BH__KIND_ENDPOINT:
		r->as.endpoint.max_streams = 256;
		break;
	case BH__KIND_POLICY:
		bh__policy_init(&r->as.policy);
		break;
	default:
		break;
	}
}

/* Frees a resource and the lists in its spec. Does nothing if `r` is NULL. */
void bh__resource_delete(BH__Resource *r)
{
	if (!r)
		return;
	if (r->kind == BH__KIND_ACCOUNT)
		g_strfreev(r->as.account.key_sha256);
	if (r->kind == BH__KIND_ENDPOINT)
		g_strfreev(r->as.endpoint.adapters);
	g_free(r->spec_json);
	g_free(r);
}
