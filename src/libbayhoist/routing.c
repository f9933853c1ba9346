/* SPDX-License-Identifier: BSD-3-Clause */
/* Routing tables. The rules of each host are kept in one list sorted by descending prefix length, so the
 * first match is the most specific one. */
#include "bayhoist/routing.h"

#include <string.h>
#include "bayhoist/field.h"
#include "bayhoist/name.h"

#define DEFAULT_MAX_HEADER_BYTES_ 16384
#define DEFAULT_MAX_BODY_BYTES_ (4 * 1024 * 1024)
#define DEFAULT_HEADER_TIMEOUT_MS_ 5000
#define DEFAULT_IDLE_TIMEOUT_MS_ 15000

const char *const BH__RetryModeString[] = {"freely", "never", "resume"};

struct BH__Routing {
	unsigned refs;
	uint64_t version;
	BH__RequestLimits limits;
	GPtrArray *rules;
	GHashTable *by_host; /* host in lower case -> GPtrArray of BH__RouteRule */
	GPtrArray *services;
	GHashTable *by_name; /* name -> BH__ServiceSpec */
	GPtrArray *owners;
	GHashTable *by_key;  /* API key -> BH__KeyOwner */
	GPtrArray *refusals; /* causes, as text */
};

static gint compare_prefixes_(gconstpointer a, gconstpointer b);
static void index_rule_(BH__Routing *r, BH__RouteRule *rule);
static bool check_rule_(const BH__Routing *r, const BH__RouteRule *rule, GError **error);
static bool has_place_(const BH__RouteRule *rule);
static void free_owner_(gpointer owner);

/* Returns an empty routing table with default limits and one reference. The caller fills it and then calls
 * bh__routing_seal(). */
BH__Routing *bh__routing_new(uint64_t version)
{
	BH__Routing *r = g_new0(BH__Routing, 1);

	r->refs = 1;
	r->version = version;
	r->limits = (BH__RequestLimits){.max_header_bytes = DEFAULT_MAX_HEADER_BYTES_,
									.max_body_bytes = DEFAULT_MAX_BODY_BYTES_,
									.header_timeout_ms = DEFAULT_HEADER_TIMEOUT_MS_,
									.idle_timeout_ms = DEFAULT_IDLE_TIMEOUT_MS_};
	r->rules = g_ptr_array_new_with_free_func((GDestroyNotify)bh__route_rule_free);
	r->by_host = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, (GDestroyNotify)g_ptr_array_unref);
	r->services = g_ptr_array_new_with_free_func((GDestroyNotify)bh__service_spec_free);
	r->by_name = g_hash_table_new(g_str_hash, g_str_equal);
	r->owners = g_ptr_array_new_with_free_func(free_owner_);
	r->by_key = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	r->refusals = g_ptr_array_new_with_free_func(g_free);
	return r;
}

static void free_owner_(gpointer owner)
{
	g_free(((BH__KeyOwner *)owner)->name);
	g_free(owner);
}

/* Returns a rule with default values: at most one execution and one attempt. */
BH__RouteRule *bh__route_rule_new(void)
{
	BH__RouteRule *rule = g_new0(BH__RouteRule, 1);

	rule->retry_mode = BH__RETRY_MODE_NEVER;
	rule->max_attempts = 1;
	return rule;
}

void bh__route_rule_free(BH__RouteRule *rule)
{
	if (!rule)
		return;
	g_free(rule->name);
	g_free(rule->host);
	g_free(rule->path_prefix);
	g_free(rule->target);
	g_free(rule);
}

/* Adds a service to which a share of the route's requests goes, by its weight. */
void bh__route_rule_add_target(BH__RouteRule *rule, const char *service, uint32_t weight)
{
	BH__RouteTarget *t;

	rule->target = g_renew(BH__RouteTarget, rule->target, rule->target_count + 1);
	t = &rule->target[rule->target_count++];
	bh__name_fit(t->service, service);
	t->weight = weight;
}

BH__ServiceSpec *bh__service_spec_new(void)
{
	BH__ServiceSpec *s = g_new0(BH__ServiceSpec, 1);

	bh__engine_model_init(&s->engine);
	return s;
}

void bh__service_spec_free(BH__ServiceSpec *service)
{
	if (!service)
		return;
	g_free(service->health_path);
	g_free(service);
}

void bh__routing_add_rule(BH__Routing *r, BH__RouteRule *rule)
{
	g_ptr_array_add(r->rules, rule);
}

void bh__routing_add_service(BH__Routing *r, BH__ServiceSpec *service)
{
	g_ptr_array_add(r->services, service);
	g_hash_table_insert(r->by_name, service->name, service);
}

/* Adds a client account with its API keys, a NULL-terminated array of strings. Copies both. A key that two
 * accounts have is the later one's, but a refused account takes none from another. */
void bh__routing_add_owner(BH__Routing *r, const BH__KeyOwner *owner, char **keys)
{
	BH__KeyOwner *copy = g_memdup2(owner, sizeof *owner);

	copy->name = g_strdup(owner->name);
	g_ptr_array_add(r->owners, copy);
	for (char **key = keys; key && *key; key++)
		if (!owner->is_refused || !g_hash_table_contains(r->by_key, *key))
			g_hash_table_insert(r->by_key, g_strdup(*key), copy);
}

void bh__routing_set_limits(BH__Routing *r, const BH__RequestLimits *limits)
{
	r->limits = *limits;
}

/* Records that a part could not be decoded, and why. Takes ownership of the error. */
void bh__routing_add_refusal(BH__Routing *r, GError *cause)
{
	g_ptr_array_add(r->refusals, g_strdup(cause->message));
	g_error_free(cause);
}

/* Validates all rules and builds the lookup lists. A rule that is not valid is refused. */
void bh__routing_seal(BH__Routing *r)
{
	GHashTableIter it;
	gpointer list;

	for (guint i = 0; i < r->rules->len; i++) {
		BH__RouteRule *rule = g_ptr_array_index(r->rules, i);
		GError *error = NULL;
		if (!rule->is_refused && !check_rule_(r, rule, &error)) {
			rule->is_refused = true;
			bh__routing_add_refusal(r, error);
		}
		if (has_place_(rule))
			index_rule_(r, rule);
	}
	g_hash_table_iter_init(&it, r->by_host);
	while (g_hash_table_iter_next(&it, NULL, &list))
		g_ptr_array_sort(list, compare_prefixes_);
}

/* Returns true if it is known which requests a rule is for. */
static bool has_place_(const BH__RouteRule *rule)
{
	return rule->host && rule->path_prefix && rule->path_prefix[0] == '/';
}

static bool check_rule_(const BH__Routing *r, const BH__RouteRule *rule, GError **error)
{
	if (!has_place_(rule)) {
		g_set_error(error, BH__INPUT_ERROR, BH__INPUT_ERROR_FIELD,
					"route \"%s\": needs a host and a path prefix that begins with a slash", rule->name);
		return false;
	}
	if (!rule->target_count) {
		g_set_error(error, BH__INPUT_ERROR, BH__INPUT_ERROR_FIELD, "route \"%s\": names no service",
					rule->name);
		return false;
	}
	for (unsigned i = 0; i < rule->target_count; i++) {
		if (bh__routing_find_service(r, rule->target[i].service))
			continue;
		g_set_error(error, BH__INPUT_ERROR, BH__INPUT_ERROR_REFERENCE,
					"route \"%s\": there is no service \"%s\"", rule->name, rule->target[i].service);
		return false;
	}
	return true;
}

static void index_rule_(BH__Routing *r, BH__RouteRule *rule)
{
	char *host = g_ascii_strdown(rule->host, -1);
	GPtrArray *list = g_hash_table_lookup(r->by_host, host);

	if (list) {
		g_free(host);
	}
	else {
		list = g_ptr_array_new();
		g_hash_table_insert(r->by_host, host, list);
	}
	g_ptr_array_add(list, rule);
}

/* Orders rules by descending prefix length, then alphabetically. */
static gint compare_prefixes_(gconstpointer a, gconstpointer b)
{
	const BH__RouteRule *const *rule_a = a;
	const BH__RouteRule *const *rule_b = b;
	size_t length_a = strlen((*rule_a)->path_prefix);
	size_t length_b = strlen((*rule_b)->path_prefix);

	return length_a == length_b  ? strcmp((*rule_a)->path_prefix, (*rule_b)->path_prefix)
		   : length_a > length_b ? -1
								 : 1;
}

BH__Routing *bh__routing_ref(BH__Routing *r)
{
	r->refs++;
	return r;
}

void bh__routing_unref(BH__Routing *r)
{
	if (!r || --r->refs)
		return;
	g_ptr_array_unref(r->refusals);
	g_hash_table_unref(r->by_key);
	g_ptr_array_unref(r->owners);
	g_hash_table_unref(r->by_name);
	g_ptr_array_unref(r->services);
	g_hash_table_unref(r->by_host);
	g_ptr_array_unref(r->rules);
	g_free(r);
}

uint64_t bh__routing_get_version(const BH__Routing *r)
{
	return r->version;
}

const BH__RequestLimits *bh__routing_get_limits(const BH__Routing *r)
{
	return &r->limits;
}

/* Returns how many parts could not be decoded, and below the cause of one. */
unsigned bh__routing_get_refusal_count(const BH__Routing *r)
{
	return r->refusals->len;
}

const char *bh__routing_get_refusal(const BH__Routing *r, unsigned index)
{
	return g_ptr_array_index(r->refusals, index);
}

/* Returns true if any client account is configured, in which case requests need an API key unless their route
 * allows none. */
bool bh__routing_has_owners(const BH__Routing *r)
{
	return r->owners->len > 0;
}

/* Returns the rule with the longest prefix of `path` among the rules of `host`, or NULL. The host is matched
 * without regard to case and port, and the query string does not affect the match. */
const BH__RouteRule *bh__routing_match(const BH__Routing *r, const char *host, const char *path)
{
	char *name = g_ascii_strdown(host, (gssize)strcspn(host, ":"));
	GPtrArray *list = g_hash_table_lookup(r->by_host, name);

	g_free(name);
	for (guint i = 0; list && i < list->len; i++) {
		const BH__RouteRule *rule = g_ptr_array_index(list, i);
		if (g_str_has_prefix(path, rule->path_prefix))
			return rule;
	}
	return NULL;
}

/* Decides whether a request may be sent on, and sets its rule and the account of its key, each NULL if there
 * is none. `key`: the API key that it brings; NULL or empty: none. */
BH__RoutingVerdict bh__routing_admit(const BH__Routing *r, const char *host, const char *path,
									 const char *key, const BH__RouteRule **rule, const BH__KeyOwner **owner)
{
	*rule = bh__routing_match(r, host, path);
	*owner = key && key[0] ? bh__routing_find_owner(r, key) : NULL;
	if (!*rule)
		return BH__ROUTING_NO_ROUTE;
	if ((*rule)->is_refused || (*owner && (*owner)->is_refused))
		return BH__ROUTING_PART_REFUSED;
	if (!*owner && !(*rule)->needs_no_key && bh__routing_has_owners(r))
		return BH__ROUTING_UNKNOWN_KEY;
	return BH__ROUTING_ADMITTED;
}

/* Returns the client account that owns an API key, or NULL. */
const BH__KeyOwner *bh__routing_find_owner(const BH__Routing *r, const char *key)
{
	return g_hash_table_lookup(r->by_key, key);
}

const BH__ServiceSpec *bh__routing_find_service(const BH__Routing *r, const char *name)
{
	return g_hash_table_lookup(r->by_name, name);
}

unsigned bh__routing_get_service_count(const BH__Routing *r)
{
	return r->services->len;
}

const BH__ServiceSpec *bh__routing_get_service(const BH__Routing *r, unsigned index)
{
	return g_ptr_array_index(r->services, index);
}

/* Returns the service for a request, chosen by weight. The same hash always gives the same service. */
const char *bh__route_rule_pick_service(const BH__RouteRule *rule, uint64_t request_hash)
{
	uint64_t weight_sum = 0;
	uint64_t offset;

	for (unsigned i = 0; i < rule->target_count; i++)
		weight_sum += rule->target[i].weight;
	offset = weight_sum ? request_hash % weight_sum : 0;
	for (unsigned i = 0; i < rule->target_count; i++) {
		if (offset < rule->target[i].weight)
			return rule->target[i].service;
		offset -= rule->target[i].weight;
	}
	return rule->target[0].service;
}
