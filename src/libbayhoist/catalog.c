/* SPDX-License-Identifier: BSD-3-Clause */
/* The catalog of resources: lookup, changes with preconditions, validation of references between resources,
 * and serialization in chunks. */
#include "bayhoist/catalog.h"

#include <string.h>
#include "bayhoist/hash.h"

struct BH__Catalog {
	GPtrArray *kinds[BH__KIND_COUNT]; /* BH__Resource *, sorted by name */
	BH__Policy default_policy;        /* applies if no policy is configured */
};

static void free_resource_(gpointer r);
static gint compare_name_(gconstpointer a, gconstpointer b);
static bool check_item_fields_(struct json_object *item, GError **error);
static bool apply_item_(BH__Catalog *c, struct json_object *item, GError **error);
static const char *get_string_(struct json_object *object, const char *name);
static bool check_generation_(const BH__Resource *old, struct json_object *item, GError **error);
static int find_index_(const BH__Catalog *c, BH__Kind kind, uint64_t id);
static void put_resource_(BH__Catalog *c, BH__Resource *r);
static void remove_resource_(BH__Catalog *c, BH__Kind kind, int index);
static bool check_reference_(const BH__Catalog *c, const BH__Resource *r, const char *field, BH__Kind kind,
							 const char *name, GError **error);
static unsigned get_chunk_index_(const BH__Resource *r);

GQuark bh__catalog_error_quark(void)
{
	return g_quark_from_static_string("bh-catalog-error");
}

/* Returns an empty catalog; the caller frees it with bh__catalog_delete(). */
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

/* Frees a catalog and its resources. Does nothing if `c` is NULL. */
void bh__catalog_delete(BH__Catalog *c)
{
	if (!c)
		return;
	for (int k = 0; k < BH__KIND_COUNT; k++)
		g_ptr_array_unref(c->kinds[k]);
	g_free(c);
}

/* Returns a deep copy, on which a change can be tried. The caller frees it with bh__catalog_delete(). */
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

/* Returns the index of a resource in the array of its kind, or -1. */
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

/* Returns the policy named "default", or the built-in policy if none has this name. */
const BH__Policy *bh__catalog_get_policy(const BH__Catalog *c)
{
	const BH__Resource *r = bh__catalog_find(c, BH__KIND_POLICY, bh__hash_name("default"));
	return r ? &r->as.policy : &c->default_policy;
}

/* Returns true if an endpoint receives no new work because it is marked as leaving or its hall is draining.
 */
bool bh__catalog_is_leaving(const BH__Catalog *c, const BH__Endpoint *e)
{
	const BH__Resource *hall = bh__catalog_find(c, BH__KIND_HALL, bh__hash_name(e->hall));

	return e->leaving || (hall && hall->as.hall.draining);
}

/* Checks that a change has the form {"resources": [{"kind": "...", "name": "...", ...}]}. Returns false and
 * sets an error otherwise. What the fields mean is checked by bh__catalog_apply(). */
bool bh__catalog_check_change(struct json_object *change, GError **error)
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
		struct json_object *item = json_object_array_get_idx(items, i);
		if (!check_item_fields_(item, error)) {
			g_prefix_error(error, "resource %u: ", (unsigned)i);
			return false;
		}
	}
	return true;
}

/* Checks that an element of a change is an object that has a kind and a name. Returns false and sets an error
 * otherwise. */
static bool check_item_fields_(struct json_object *item, GError **error)
{
	static const char *const Required[] = {"kind", "name"};

	if (!json_object_is_type(item, json_type_object)) {
		g_set_error(error, BH__CATALOG_ERROR, BH__CATALOG_ERROR_INVALID,
					"field \"resources\": must be a list of objects");
		return false;
	}
	for (size_t i = 0; i < G_N_ELEMENTS(Required); i++) {
		if (get_string_(item, Required[i]))
			continue;
		g_set_error(error, BH__CATALOG_ERROR, BH__CATALOG_ERROR_INVALID, "field \"%s\": required but absent",
					Required[i]);
		return false;
	}
	return true;
}

/* Applies {"resources": [{"kind", "name", "spec" | "delete", "if_generation"}]} as one change. Returns false
 * and sets an error if the change is invalid or conflicts with a newer generation. The catalog may then be
 * partly changed, so callers apply changes to a copy. */
bool bh__catalog_apply(BH__Catalog *c, struct json_object *change, GError **error)
{
	struct json_object *items;

	if (!bh__catalog_check_change(change, error))
		return false;
	items = json_object_object_get(change, "resources");
	for (size_t i = 0; i < json_object_array_length(items); i++) {
		if (!apply_item_(c, json_object_array_get_idx(items, i), error)) {
			g_prefix_error(error, "resource %u: ", (unsigned)i);
			return false;
		}
	}
	return bh__catalog_check_references(c, error);
}

/* Returns the string field `name` of an object, or NULL if it is absent or not a string. The object owns the
 * string. */
static const char *get_string_(struct json_object *object, const char *name)
{
	struct json_object *value;
	if (!json_object_object_get_ex(object, name, &value) || !json_object_is_type(value, json_type_string))
		return NULL;
	return json_object_get_string(value);
}

/* Creates, replaces or deletes one resource. Deleting a resource that does not exist succeeds. The fields
 * `generation` and `status` are accepted and ignored. */
static bool apply_item_(BH__Catalog *c, struct json_object *item, GError **error)
{
	const char *kind_name = get_string_(item, "kind");
	const char *name = get_string_(item, "name");
	struct json_object *spec = NULL;
	struct json_object *delete_value = NULL;
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
	if (!bh__kind_parse(kind_name, &kind)) {
		g_set_error(error, BH__CATALOG_ERROR, BH__CATALOG_ERROR_INVALID,
					"field \"kind\": unknown kind \"%s\"", kind_name);
		return false;
	}
	old = find_index_(c, kind, bh__hash_name(name));
	if (!check_generation_(old < 0 ? NULL : g_ptr_array_index(c->kinds[kind], old), item, error))
		return false;
	if (json_object_object_get_ex(item, "delete", &delete_value) && json_object_get_boolean(delete_value)) {
		if (old >= 0)
			remove_resource_(c, kind, old);
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
	put_resource_(c, r);
	return true;
}

/* Checks the precondition `if_generation`, if there is one. Generation 0 requires that the resource does not
 * exist. Returns false and sets a BH__CATALOG_ERROR_CONFLICT error if the generation differs. */
static bool check_generation_(const BH__Resource *old, struct json_object *item, GError **error)
{
	struct json_object *expected = NULL;
	uint64_t current_generation = old ? old->generation : 0;

	if (!json_object_object_get_ex(item, "if_generation", &expected))
		return true;
	if (json_object_is_type(expected, json_type_int) &&
		(uint64_t)json_object_get_int64(expected) == current_generation)
		return true;
	g_set_error(error, BH__CATALOG_ERROR, BH__CATALOG_ERROR_CONFLICT,
				"field \"if_generation\": the resource is at generation %" G_GUINT64_FORMAT,
				current_generation);
	return false;
}

/* Adds `r`, which the catalog then owns, and replaces a resource of the same kind and name. The generation
 * grows by 1 if the spec differs from the replaced one and stays otherwise. */
static void put_resource_(BH__Catalog *c, BH__Resource *r)
{
	int i = find_index_(c, r->kind, r->id);

	if (i >= 0) {
		const BH__Resource *old = g_ptr_array_index(c->kinds[r->kind], i);
		r->generation = old->generation + (strcmp(old->spec_json, r->spec_json) != 0);
		remove_resource_(c, r->kind, i);
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

static void remove_resource_(BH__Catalog *c, BH__Kind kind, int index)
{
	g_ptr_array_remove_index(c->kinds[kind], (guint)index);
}

/* Checks that every reference from one resource to another names an existing resource. Returns false and sets
 * a BH__CATALOG_ERROR_INVALID error at the first dangling reference. */
bool bh__catalog_check_references(const BH__Catalog *c, GError **error)
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

/* Checks that `name` is empty or names a resource of `kind`. Returns false and sets an error that names
 * `field` otherwise. */
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

/* Returns the index of the chunk that holds a resource; it depends only on kind and name. */
static unsigned get_chunk_index_(const BH__Resource *r)
{
	return (unsigned)r->kind * BH__CHUNKS_PER_KIND + (unsigned)(r->id % BH__CHUNKS_PER_KIND);
}

/* Returns one chunk as a JSON text, which the caller frees with g_free(). The text is deterministic: the same
 * resources always give the same text. */
char *bh__catalog_write_chunk(const BH__Catalog *c, unsigned chunk)
{
	const GPtrArray *all = c->kinds[chunk / BH__CHUNKS_PER_KIND];
	GString *out = g_string_new("[");

	for (guint i = 0; i < all->len; i++) {
		const BH__Resource *r = g_ptr_array_index(all, i);
		if (get_chunk_index_(r) != chunk)
			continue;
		g_string_append_printf(out, "%s{\"name\":\"%s\",\"generation\":%" G_GUINT64_FORMAT ",\"spec\":%s}",
							   out->len > 1 ? "," : "", r->name, r->generation, r->spec_json);
	}
	g_string_append_c(out, ']');
	return g_string_free(out, FALSE);
}

/* Replaces the resources of one chunk with those in `text`. Returns false if the text is malformed or a spec
 * is invalid, and sets an error; the chunk may then be partly read. */
bool bh__catalog_read_chunk(BH__Catalog *c, unsigned chunk, const char *text, size_t len, GError **error)
{
	BH__Kind kind = (BH__Kind)(chunk / BH__CHUNKS_PER_KIND);
	struct json_object *items = bh__json_parse(text, len, error);
	bool ok = items && json_object_is_type(items, json_type_array);

	if (items && !ok)
		g_set_error(error, BH__CATALOG_ERROR, BH__CATALOG_ERROR_INVALID, "chunk %u: must be a list", chunk);
	for (int i = (int)c->kinds[kind]->len - 1; ok && i >= 0; i--)
		if (get_chunk_index_(g_ptr_array_index(c->kinds[kind], i)) == chunk)
			remove_resource_(c, kind, i);
	for (size_t i = 0; ok && i < json_object_array_length(items); i++) {
		struct json_object *item = json_object_array_get_idx(items, i);
		struct json_object *generation = NULL;
		struct json_object *spec = NULL;
		const char *name = get_string_(item, "name");
		BH__Resource *r;

		json_object_object_get_ex(item, "generation", &generation);
		ok = name && json_object_object_get_ex(item, "spec", &spec);
		if (!ok) {
			g_set_error(error, BH__CATALOG_ERROR, BH__CATALOG_ERROR_INVALID,
						"chunk %u, resource %u: field \"%s\": required but absent", chunk, (unsigned)i,
						name ? "spec" : "name");
			break;
		}
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
