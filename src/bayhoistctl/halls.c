/* SPDX-License-Identifier: BSD-3-Clause */
/* Data halls that operators drain, as gateways know them: since when, what still runs there, and which
 * gateways have not heard of it. */
#include <stdio.h>
#include <string.h>
#include <sysexits.h>
#include "bayhoist/store_version.h"
#include "ctl.h"

/* What gateways say of one hall. */
typedef struct {
	char *name;
	BH__StoreVersion changed; /* of the latest word */
	bool draining;            /* by that */
	uint64_t known_ms;        /* for the longest time that a gateway has known it */
	uint64_t requests;        /* of all gateways, that still run there */
	GPtrArray *heard;         /* addresses of gateways that know the latest word */
} Hall;

static bool read_gateway_(const Options *o, const char *address, GPtrArray *halls);
static void take_(GPtrArray *halls, struct json_object *said, const char *address);
static Hall *find_(GPtrArray *halls, const char *name);
static void free_hall_(gpointer hall);
static struct json_object *describe_(const Hall *h, char **addresses);
static void print_(const GPtrArray *halls, char **addresses);
static void print_json_(const GPtrArray *halls, char **addresses);
static bool has_heard_(const Hall *h, const char *address);

/* Asks the gateways at these control addresses, or else the one of the options. The exit status says whether
 * all have answered. */
int ctl_halls(const Options *o, char **addresses)
{
	char *node[] = {(char *)o->node, NULL};
	char **all = addresses[0] ? addresses : node;
	GPtrArray *halls = g_ptr_array_new_with_free_func(free_hall_);
	bool answered = true;

	for (char **a = all; *a; a++)
		answered = read_gateway_(o, *a, halls) && answered;
	if (o->json)
		print_json_(halls, all);
	else
		print_(halls, all);
	g_ptr_array_unref(halls);
	return answered ? EX_OK : EX_UNAVAILABLE;
}

/* A gateway that does not answer has heard nothing, as far as is known. */
static bool read_gateway_(const Options *o, const char *address, GPtrArray *halls)
{
	int status = 0;
	struct json_object *root = ctl_get(o, address, "/halls", &status);
	struct json_object *list;

	if (status != 200) {
		fprintf(stderr, "bayhoistctl: %s: no answer\n", address);
		json_object_put(root);
		return false;
	}
	list = json_object_object_get(root, "halls");
	for (size_t i = 0; i < json_object_array_length(list); i++)
		take_(halls, json_object_array_get_idx(list, i), address);
	json_object_put(root);
	return true;
}

/* The latest word on a hall counts, and those who know just that have heard. */
static void take_(GPtrArray *halls, struct json_object *said, const char *address)
{
	Hall *h = find_(halls, ctl_text(said, "hall"));
	BH__StoreVersion changed = {.era = ctl_number(said, "era"), .revision = ctl_number(said, "revision")};
	int order = bh__store_version_compare(changed, h->changed);

	h->requests += ctl_number(said, "requests");
	if (order < 0)
		return;
	if (order > 0) {
		g_ptr_array_set_size(h->heard, 0);
		h->changed = changed;
		h->known_ms = 0;
		h->draining = json_object_get_boolean(json_object_object_get(said, "draining"));
	}
	g_ptr_array_add(h->heard, g_strdup(address));
	h->known_ms = MAX(h->known_ms, ctl_number(said, "known_ms"));
}

static Hall *find_(GPtrArray *halls, const char *name)
{
	Hall *h;

	for (guint i = 0; i < halls->len; i++) {
		h = g_ptr_array_index(halls, i);
		if (!strcmp(h->name, name))
			return h;
	}
	h = g_new0(Hall, 1);
	h->name = g_strdup(name);
	h->heard = g_ptr_array_new_with_free_func(g_free);
	g_ptr_array_add(halls, h);
	return h;
}

static void free_hall_(gpointer hall)
{
	Hall *h = hall;

	g_ptr_array_unref(h->heard);
	g_free(h->name);
	g_free(h);
}

static bool has_heard_(const Hall *h, const char *address)
{
	return g_ptr_array_find_with_equal_func(h->heard, address, g_str_equal, NULL);
}

static void print_(const GPtrArray *halls, char **addresses)
{
	printf("%-16s %-8s %10s %8s %8s  %s\n", "HALL", "STATE", "FOR", "REQUESTS", "HEARD", "NOT HEARD");
	for (guint i = 0; i < halls->len; i++) {
		const Hall *h = g_ptr_array_index(halls, i);
		char heard[32];
		g_snprintf(heard, sizeof heard, "%u/%u", h->heard->len, g_strv_length(addresses));
		printf("%-16s %-8s %8" G_GUINT64_FORMAT " s %8" G_GUINT64_FORMAT " %8s ", h->name,
			   h->draining ? "drains" : "in-use", h->known_ms / 1000, h->requests, heard);
		for (char **a = addresses; *a; a++)
			if (!has_heard_(h, *a))
				printf(" %s", *a);
		putchar('\n');
	}
}

static void print_json_(const GPtrArray *halls, char **addresses)
{
	struct json_object *list = json_object_new_array();
	struct json_object *root = json_object_new_object();

	for (guint i = 0; i < halls->len; i++)
		json_object_array_add(list, describe_(g_ptr_array_index(halls, i), addresses));
	json_object_object_add(root, "halls", list);
	puts(json_object_to_json_string_ext(root, JSON_C_TO_STRING_PRETTY));
	json_object_put(root);
}

static struct json_object *describe_(const Hall *h, char **addresses)
{
	struct json_object *o = json_object_new_object();
	struct json_object *not_heard = json_object_new_array();

	for (char **a = addresses; *a; a++)
		if (!has_heard_(h, *a))
			json_object_array_add(not_heard, json_object_new_string(*a));
	json_object_object_add(o, "hall", json_object_new_string(h->name));
	json_object_object_add(o, "draining", json_object_new_boolean(h->draining));
	json_object_object_add(o, "era", json_object_new_int64((int64_t)h->changed.era));
	json_object_object_add(o, "revision", json_object_new_int64((int64_t)h->changed.revision));
	json_object_object_add(o, "known_ms", json_object_new_int64((int64_t)h->known_ms));
	json_object_object_add(o, "requests", json_object_new_int64((int64_t)h->requests));
	json_object_object_add(o, "not_heard", not_heard);
	return o;
}
