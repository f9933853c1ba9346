/* SPDX-License-Identifier: BSD-3-Clause */
/* The catalog of resources: lookup, changes with preconditions, references between resources, chunks. */
#include "bayhoist/catalog.h"

#include <string.h>
#include "bayhoist/hash.h"

struct BH__Catalog {
	GPtrArray *kinds[BH__KIND_COUNT]; /* BH__Resource *, sorted by name */
	BH__Policy default_policy;
};

static void free_resource_(gpointer r);
static gint compare_name_(gconstpointer a, gconstpointer b);
static bool apply_one_(BH__Catalog *c, struct json_object *item, GError **error);
static const char *get_string_(struct json_object *object, const char *name);
static bool check_generation_(const BH__Resource *old, struct json_object *item, GError **error);
static int find_index_(const BH__Catalog *c, BH__Kind kind, uint64_t id);
static void put_(BH__Catalog *c, BH__Resource *r);
static void remove_(BH__Catalog *c, BH__Kind kind, int index);
static bool check_reference_(const BH__Catalog *c, const BH__Resource *r, const char *field, BH__Kind kind,
							 const char *name, GError **error);
static unsigned chunk_of_(const BH__Resource *r);

GQuark bh__catalog_error_quark(void)
{
	return g_quark_from_static_string("bh-catalog-error");
}

/* Returns an empty catalog. */
BH__Catalog *bh__catalog_new(void)
{
	BH__Catalog *c = g_new0(BH__Catalog, 1);
	for (int k = 0; k < BH__KIND_COUNT; k++)
		c->kinds[k] = g_ptr_array_new_with_free_func(free_resource_);
	bh__policy_init(&c->default_policy);
	return c;
}

static void free_resource_(gpointer r)
{
	bh__resource_delete(r);
}

void bh__catalog_delete(BH__Catalog *c)
{
	if (!c)
		return;
	for (int k = 0; k < BH__KIND_COUNT; k++)
		g_ptr_array_unref(c->kinds[k]);
	g_free(c);
}

/* Returns a copy to try a change on. */
BH__Catalog *bh__catalog_copy(const BH__Catalog *c)
{
	BH__Catalog *copy = bh__catalog_new();

	for (unsigned chunk = 0; chunk < BH__CHUNK_COUNT; chunk++) {
		char *text = bh__catalog_write_chunk(c, chunk);
		bool ok = bh__catalog_read_chunk(copy, chunk, text, strlen(text), NULL);
		g_assert(ok);
		g_free(text);
	}
	return copy;
}

static int find_index_(const BH__Catalog *c, BH__Kind kind, uint64_t id)
{
	for (guint i = 0; i < c->kinds[kind]->len; i++)
		if (((const BH__Resource *)g_ptr_array_index(c->kinds[kind], i))->id == id)
			return (int)i;
	return -1;
}

/* Returns the resource of `kind` whose name hashes to `id`, or NULL. */
const BH__Resource *bh__catalog_find(const BH__Catalog *c, BH__Kind kind, uint64_t id)
{
	int i = find_index_(c, kind, id);
	return i < 0 ? NULL : g_ptr_array_index(c->kinds[kind], i);
}

/* Returns all resources of `kind`, sorted by name; owned by the catalog. */
const GPtrArray *bh__catalog_get_all(const BH__Catalog *c, BH__Kind kind)
{
	return c->kinds[kind];
}

/* Returns the policy named "default", or the built-in one. */
const BH__Policy *bh__catalog_get_policy(const BH__Catalog *c)
{
	const BH__Resource *r = bh__catalog_find(c, BH__KIND_POLICY, bh__hash_name("default"));
	return r ? &r->as.policy : &c->default_policy;
}

/* Returns true if operators have an endpoint receive no new work: it leaves, or its hall drains. */
bool bh__catalog_is_leaving(const BH__Catalog *c, const BH__Endpoint *e)
{
	const BH__Resource *hall = bh__catalog_find(c, BH__KIND_HALL, bh__hash_name(e->hall));

	return e->leaving || (hall && hall->as.hall.draining);
}

/* Applies {"resources": [{"kind", "name", "spec" | "delete", "if_generation"}]} as one change. On an error
 * the catalog may be half changed: apply to a copy. */
bool bh__catalog_apply(BH__Catalog *c, struct json_object *change, GError **error)
{
	struct json_object *items = NULL;

	if (!json_object_is_type(change, json_type_object) ||
		!json_object_object_get_ex(change, "resources", &items) ||
		!json_object_is_type(items, json_type_array)) {
		g_set_error(error, BH__CATALOG_ERROR, BH__CATALOG_ERROR_INVALID,
					"field \"resources\": must be a list of resources");
		return false;
	}
	for (size_t i = 0; i < json_object_array_length(items); i++) {
		if (!apply_one_(c, json_object_array_get_idx(items, i), error)) {
			g_prefix_error(error, "resource %u: ", (unsigned)i);
			return false;
		}
	}
	return bh__catalog_check(c, error);
}

static const char *get_string_(struct json_object *object, const char *name)
{
	struct json_object *value;
	if (!json_object_object_get_ex(object, name, &value) || !json_object_is_type(value, json_type_string))
		return NULL;
	return json_object_get_string(value);
}

static bool apply_one_(BH__Catalog *c, struct json_object *item, GError **error)
{
	const char *kind_name = get_string_(item, "kind");
	const char *name = get_string_(item, "name");
	struct json_object *spec = NULL;
	struct json_object *gone = NULL;
	BH__Kind kind;
	BH__Resource *r;
	int old;

	json_object_object_foreach(item, key, value)
	{
		(void)value;
		if (!g_strv_contains((const char *const[]){"kind", "name", "spec", "delete", "if_generation",
												   "generation", "status", NULL},
							 key)) {
			g_set_error(error, BH__CATALOG_ERROR, BH__CATALOG_ERROR_INVALID, "field \"%s\": unknown field",
						key);
			return false;
		}
	}
	if (!kind_name || !bh__kind_parse(kind_name, &kind)) {
		g_set_error(error, BH__CATALOG_ERROR, BH__CATALOG_ERROR_INVALID,
					"field \"kind\": unknown kind \"%s\"", kind_name ? kind_name : "");
		return false;
	}
	if (!name) {
		g_set_error(error, BH__CATALOG_ERROR, BH__CATALOG_ERROR_INVALID,
					"field \"name\": required but absent");
		return false;
	}
	old = find_index_(c, kind, bh__hash_name(name));
	if (!check_generation_(old < 0 ? NULL : g_ptr_array_index(c->kinds[kind], old), item, error))
		return false;
	if (json_object_object_get_ex(item, "delete", &gone) && json_object_get_boolean(gone)) {
		if (old >= 0)
			remove_(c, kind, old);
		return true;
	}
	if (!json_object_object_get_ex(item, "spec", &spec)) {
		g_set_error(error, BH__CATALOG_ERROR, BH__CATALOG_ERROR_INVALID,
					"field \"spec\": required but absent");
		return false;
	}
	r = bh__resource_new(kind, name, spec, error);
	if (!r)
		return false;
	put_(c, r);
	return true;
}

static bool check_generation_(const BH__Resource *old, struct json_object *item, GError **error)
{
	struct json_object *want = NULL;
	uint64_t have = old ? old->generation : 0;

	if (!json_object_object_get_ex(item, "if_generation", &want))
		return true;
	if (json_object_is_type(want, json_type_int) && (uint64_t)json_object_get_int64(want) == have)
		return true;
	g_set_error(error, BH__CATALOG_ERROR, BH__CATALOG_ERROR_CONFLICT,
				"field \"if_generation\": the resource is at generation %" G_GUINT64_FORMAT, have);
	return false;
}

/* Puts `r` in place of one with its name: an unchanged spec keeps the generation. */
static void put_(BH__Catalog *c, BH__Resource *r)
{
	int i = find_index_(c, r->kind, r->id);

	if (i >= 0) {
		const BH__Resource *old = g_ptr_array_index(c->kinds[r->kind], i);
		r->generation = old->generation + (strcmp(old->spec_json, r->spec_json) != 0);
		remove_(c, r->kind, i);
	}
	g_ptr_array_add(c->kinds[r->kind], r);
	g_ptr_array_sort(c->kinds[r->kind], compare_name_);
}

static gint compare_name_(gconstpointer a, gconstpointer b)
{
	const BH__Resource *const *ra = a;
	const BH__Resource *const *rb = b;
	return strcmp((*ra)->name, (*rb)->name);
}

static void remove_(BH__Catalog *c, BH__Kind kind, int index)
{
	g_ptr_array_remove_index(c->kinds[kind], (guint)index);
}

/* Checks that each resource that names another names one that is there. */
bool bh__catalog_check(const BH__Catalog *c, GError **error)
{
	for (int k = 0; k < BH__KIND_COUNT; k++) {
		for (guint i = 0; i < c->kinds[k]->len; i++) {
			const BH__Resource *r = g_ptr_array_index(c->kinds[k], i);
			bool ok = true;
			if (k == BH__KIND_VERSION)
				ok = check_reference_(c, r, "model", BH__KIND_MODEL, r->as.version.model, error);
			if (k == BH__KIND_ADAPTER)
				ok = check_reference_(c, r, "model", BH__KIND_MODEL, r->as.adapter.model, error);
			if (k == BH__KIND_ACCOUNT)
				ok = check_reference_(c, r, "priority", BH__KIND_PRIORITY, r->as.account.priority, error);
			if (k == BH__KIND_ENDPOINT)
				ok = check_reference_(c, r, "model", BH__KIND_MODEL, r->as.endpoint.model, error) &&
					 check_reference_(c, r, "role", BH__KIND_ROLE, r->as.endpoint.role, error) &&
					 check_reference_(c, r, "version", BH__KIND_VERSION, r->as.endpoint.version, error);
			if (!ok)
				return false;
		}
	}
	return true;
}

static bool check_reference_(const BH__Catalog *c, const BH__Resource *r, const char *field, BH__Kind kind,
							 const char *name, GError **error)
{
	if (!name[0] || bh__catalog_find(c, kind, bh__hash_name(name)))
		return true;
	g_set_error(error, BH__CATALOG_ERROR, BH__CATALOG_ERROR_INVALID,
				"%s \"%s\": field \"%s\": there is no %s \"%s\"", BH__KindString[r->kind], r->name, field,
				BH__KindString[kind], name);
	return false;
}

static unsigned chunk_of_(const BH__Resource *r)
{
	return (unsigned)r->kind * BH__CHUNKS_PER_KIND + (unsigned)(r->id % BH__CHUNKS_PER_KIND);
}

/* Returns the text of one chunk (free with g_free()); the same resources give the same text. */
char *bh__catalog_write_chunk(const BH__Catalog *c, unsigned chunk)
{
	const GPtrArray *all = c->kinds[chunk / BH__CHUNKS_PER_KIND];
	GString *out = g_string_new("[");

	for (guint i = 0; i < all->len; i++) {
		const BH__Resource *r = g_ptr_array_index(all, i);
		if (chunk_of_(r) != chunk)
			continue;
		g_string_append_printf(out, "%s{\"name\":\"%s\",\"generation\":%" G_GUINT64_FORMAT ",\"spec\":%s}",
							   out->len > 1 ? "," : "", r->name, r->generation, r->spec_json);
	}
	g_string_append_c(out, ']');
	return g_string_free(out, FALSE);
}

/* Puts the resources of one chunk's text in place of those that the catalog has for that chunk. */
bool bh__catalog_read_chunk(BH__Catalog *c, unsigned chunk, const char *text, size_t len, GError **error)
{
	BH__Kind kind = (BH__Kind)(chunk / BH__CHUNKS_PER_KIND);
	struct json_object *items = bh__json_parse(text, len, error);
	bool ok = items != NULL;

	for (int i = (int)c->kinds[kind]->len - 1; ok && i >= 0; i--)
		if (chunk_of_(g_ptr_array_index(c->kinds[kind], i)) == chunk)
			remove_(c, kind, i);
	for (size_t i = 0; ok && i < json_object_array_length(items); i++) {
		struct json_object *item = json_object_array_get_idx(items, i);
		struct json_object *generation = NULL;
		struct json_object *spec = NULL;
		const char *name = get_string_(item, "name");
		BH__Resource *r = NULL;

		json_object_object_get_ex(item, "generation", &generation);
		if (name && json_object_object_get_ex(item, "spec", &spec))
			r = bh__resource_new(kind, name, spec, error);
		ok = r != NULL;
		if (!ok)
			break;
		r->generation = (uint64_t)json_object_get_int64(generation);
		g_ptr_array_add(c->kinds[kind], r);
	}
	g_ptr_array_sort(c->kinds[kind], compare_name_);
	json_object_put(items);
	return ok;
}
