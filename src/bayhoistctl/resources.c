/* SPDX-License-Identifier: BSD-3-Clause */
/* Commands on resources: apply, get, watch, drain; and where. */
#include <stdio.h>
#include <string.h>
#include <sysexits.h>
#include "bayhoist/field.h"
#include "ctl.h"

#define WATCH_PERIOD_US 300000
#define APPLY_TIMEOUT_S 15

static int send_change_(const Options *o, struct json_object *change);
static int drain_hall_(const Options *o, const char *hall, bool drains);
static char *new_change_id_(void);
static int print_resources_(struct json_object *answer, char **arguments);
static int print_addresses_(struct json_object *answer, char **arguments);
static unsigned print_changes_(GHashTable *known, struct json_object *list, uint64_t revision);
static char *name_of_(struct json_object *resource);

static char *new_change_id_(void)
{
	return g_strdup_printf("%08x%08x%08x%08x", g_random_int(), g_random_int(), g_random_int(),
						   g_random_int());
}

/* Sends one change. If no answer came its id is printed, so that it can be asked for again. */
static int send_change_(const Options *o, struct json_object *change)
{
	char *id = o->change_id ? g_strdup(o->change_id) : new_change_id_();
	FetchCall call = {.address = o->node,
					  .ca = o->ca,
					  .key = o->key,
					  .method = EVHTTP_REQ_POST,
					  .path = "/admin/v1/apply",
					  .body = json_object_to_json_string_ext(change, JSON_C_TO_STRING_PLAIN),
					  .header_name = "X-Bayhoist-Change-Id",
					  .header_value = id,
					  .timeout_s = APPLY_TIMEOUT_S};
	int status;
	struct json_object *answer = fetch_json(&call, &status);

	if (status == 200) {
		if (o->json)
			puts(json_object_to_json_string_ext(answer, JSON_C_TO_STRING_PLAIN));
		else
			printf("in force as revision %" G_GUINT64_FORMAT "\n", ctl_number(answer, "revision"));
		json_object_put(answer);
		g_free(id);
		return EX_OK;
	}
	if (status == 0 || status == 504)
		fprintf(stderr, "bayhoistctl: it may be in force; to ask again use --change-id %s\n", id);
	g_free(id);
	return ctl_fail(status, answer);
}

int ctl_apply(const Options *o, char **files)
{
	for (; *files; files++) {
		char *text = NULL;
		gsize len;
		GError *error = NULL;
		struct json_object *change = NULL;
		int result;

		if (!g_file_get_contents(*files, &text, &len, &error) ||
			!(change = bh__json_parse(text, len, &error))) {
			fprintf(stderr, "bayhoistctl: %s: %s\n", *files, error->message);
			g_error_free(error);
			g_free(text);
			return EX_DATAERR;
		}
		result = send_change_(o, change);
		json_object_put(change);
		g_free(text);
		if (result)
			return result;
	}
	return EX_OK;
}

static char *name_of_(struct json_object *resource)
{
	return g_strdup_printf("%s/%s", ctl_text(resource, "kind"), ctl_text(resource, "name"));
}

static int print_resources_(struct json_object *answer, char **arguments)
{
	struct json_object *list = json_object_object_get(answer, "resources");

	(void)arguments;
	printf("%-32s %10s  %s\n", "RESOURCE", "GENERATION", "SPEC");
	for (size_t i = 0; i < json_object_array_length(list); i++) {
		struct json_object *r = json_object_array_get_idx(list, i);
		char *name = name_of_(r);
		printf("%-32s %10" G_GUINT64_FORMAT "  %s\n", name, ctl_number(r, "generation"),
			   json_object_to_json_string_ext(json_object_object_get(r, "spec"), JSON_C_TO_STRING_PLAIN));
		g_free(name);
	}
	return EX_OK;
}

int ctl_get_resources(const Options *o, char **arguments)
{
	char *path =
		g_strconcat("/admin/v1/resources", arguments[0] ? "/" : "", arguments[0],
					arguments[0] && arguments[1] ? "/" : "", arguments[0] ? arguments[1] : NULL, NULL);
	int status;
	struct json_object *answer = ctl_get(o, o->node, path, &status);

	g_free(path);
	return ctl_show(o, status, answer, print_resources_, arguments);
}

/* Prints what differs from the `known` generations and brings those up to date. Returns the number of lines.
 */
static unsigned print_changes_(GHashTable *known, struct json_object *list, uint64_t revision)
{
	unsigned changes = 0;
	GHashTable *now = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	GHashTableIter it;
	gpointer name;

	for (size_t i = 0; i < json_object_array_length(list); i++) {
		struct json_object *r = json_object_array_get_idx(list, i);
		char *key = name_of_(r);
		gpointer generation = GSIZE_TO_POINTER(ctl_number(r, "generation"));
		gpointer old = g_hash_table_lookup(known, key);
		g_hash_table_add(now, g_strdup(key));
		if (old != generation) {
			printf("revision=%" G_GUINT64_FORMAT " %s=%s generation=%" G_GUINT64_FORMAT "\n", revision,
				   old ? "changed" : "added", key, (uint64_t)GPOINTER_TO_SIZE(generation));
			changes++;
		}
		g_hash_table_replace(known, key, generation);
	}
	g_hash_table_iter_init(&it, known);
	while (g_hash_table_iter_next(&it, &name, NULL)) {
		if (g_hash_table_contains(now, name))
			continue;
		printf("revision=%" G_GUINT64_FORMAT " removed=%s\n", revision, (const char *)name);
		g_hash_table_iter_remove(&it);
		changes++;
	}
	g_hash_table_unref(now);
	fflush(stdout);
	return changes;
}

int ctl_watch(const Options *o)
{
	GHashTable *known = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	uint64_t seen = 0;
	unsigned changes = 0;

	while (!o->count || changes < o->count) {
		int status;
		struct json_object *answer = ctl_get(o, o->node, "/admin/v1/resources", &status);
		uint64_t revision = status == 200 ? ctl_number(answer, "revision") : 0;
		if (status && status != 200) {
			g_hash_table_unref(known);
			return ctl_fail(status, answer);
		}
		if (revision > seen) {
			changes += print_changes_(known, json_object_object_get(answer, "resources"), revision);
			seen = revision;
		}
		json_object_put(answer);
		if (!o->count || changes < o->count)
			g_usleep(WATCH_PERIOD_US);
	}
	g_hash_table_unref(known);
	return EX_OK;
}

/* Has a data hall drain, or takes that back. */
static int drain_hall_(const Options *o, const char *hall, bool drains)
{
	struct json_object *change = json_object_new_object();
	struct json_object *list = json_object_new_array();
	struct json_object *resource = json_object_new_object();
	struct json_object *spec = json_object_new_object();
	int result;

	json_object_object_add(spec, "draining", json_object_new_boolean(drains));
	json_object_object_add(resource, "kind", json_object_new_string("hall"));
	json_object_object_add(resource, "name", json_object_new_string(hall));
	json_object_object_add(resource, "spec", spec);
	json_object_array_add(list, resource);
	json_object_object_add(change, "resources", list);
	result = send_change_(o, change);
	json_object_put(change);
	return result;
}

/* Marks an endpoint as leaving, keeping the rest of its spec; has a hall drain; or drains the node itself. */
int ctl_drain(const Options *o, char **arguments)
{
	FetchCall call = {.address = o->node,
					  .ca = o->ca,
					  .key = o->key,
					  .method = EVHTTP_REQ_POST,
					  .path = "/admin/v1/drain",
					  .body = "{}"};
	struct json_object *answer;
	struct json_object *change;
	struct json_object *resource;
	int status;
	char *path;
	int result;

	if (o->hall)
		return drain_hall_(o, o->hall, !arguments[0] || strcmp(arguments[0], "off") != 0);
	if (!arguments[0]) {
		answer = fetch_json(&call, &status);
		if (status != 202)
			return ctl_fail(status, answer);
		json_object_put(answer);
		puts("the node is leaving");
		return EX_OK;
	}
	path = g_strconcat("/admin/v1/resources/endpoint/", arguments[0], NULL);
	answer = ctl_get(o, o->node, path, &status);
	g_free(path);
	if (status != 200)
		return ctl_fail(status, answer);
	if (json_object_array_length(json_object_object_get(answer, "resources")) != 1) {
		fprintf(stderr, "bayhoistctl: there is no endpoint \"%s\"\n", arguments[0]);
		json_object_put(answer);
		return 1;
	}
	resource = json_object_array_get_idx(json_object_object_get(answer, "resources"), 0);
	json_object_object_add(json_object_object_get(resource, "spec"), "leaving",
						   json_object_new_boolean(true));
	json_object_object_add(resource, "if_generation",
						   json_object_get(json_object_object_get(resource, "generation")));
	change = json_object_new_object();
	json_object_object_add(change, "resources", json_object_get(json_object_object_get(answer, "resources")));
	result = send_change_(o, change);
	json_object_put(change);
	json_object_put(answer);
	return result;
}

int ctl_where(const Options *o)
{
	char *path = o->hall ? g_strconcat("/v1/where?hall=", o->hall, NULL) : g_strdup("/v1/where");
	int status;
	struct json_object *answer = ctl_get(o, o->node, path, &status);

	g_free(path);
	return ctl_show(o, status, answer, print_addresses_, NULL);
}

static int print_addresses_(struct json_object *answer, char **arguments)
{
	struct json_object *list = json_object_object_get(answer, "addresses");

	(void)arguments;
	for (size_t i = 0; i < json_object_array_length(list); i++)
		puts(json_object_get_string(json_object_array_get_idx(list, i)));
	return EX_OK;
}
