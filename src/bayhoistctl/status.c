/* SPDX-License-Identifier: BSD-3-Clause */
/* The status of the whole system: one node names the others, and each tells of the endpoints whose pool it
 * schedules. */
#include <stdio.h>
#include <string.h>
#include <sysexits.h>
#include "ctl.h"

#define MB (1024.0 * 1024.0)

static void add_counters_(struct json_object *node, struct json_object *from);
static int print_(struct json_object *root, char **arguments);

/* Returns one node's status, completed from the others it names, or NULL. */
struct json_object *ctl_collect_status(const Options *o, int *status)
{
	struct json_object *root = ctl_get(o, o->node, "/admin/v1/status", status);
	struct json_object *endpoints;
	struct json_object *nodes;

	if (*status != 200)
		return root;
	endpoints = json_object_new_array();
	nodes = json_object_object_get(root, "nodes");
	for (size_t i = 0; i < json_object_array_length(nodes); i++) {
		struct json_object *node = json_object_array_get_idx(nodes, i);
		struct json_object *other = NULL;
		struct json_object *list;
		int other_status = 0;
		if (!strcmp(ctl_text(node, "state"), "alive"))
			other = ctl_get(o, ctl_text(node, "caller_address"), "/admin/v1/status", &other_status);
		if (other_status == 200) {
			list = json_object_object_get(other, "endpoints");
			for (size_t k = 0; k < json_object_array_length(list); k++)
				json_object_array_add(endpoints, json_object_get(json_object_array_get_idx(list, k)));
			add_counters_(node, other);
		}
		json_object_put(other);
	}
	json_object_object_add(root, "endpoints", endpoints);
	return root;
}

static void add_counters_(struct json_object *node, struct json_object *from)
{
	json_object_object_add(node, "counters", json_object_get(json_object_object_get(from, "counters")));
	json_object_object_add(node, "config_revision",
						   json_object_get(json_object_object_get(from, "config_revision")));
	json_object_object_add(node, "store_up", json_object_get(json_object_object_get(from, "store_up")));
}

static int print_(struct json_object *root, char **arguments)
{
	struct json_object *list = json_object_object_get(root, "nodes");

	printf("%-16s %-14s %-8s %-8s %8s %8s  %s\n", "NODE", "HALL", "STATE", "LEAVING", "REVISION", "REQUESTS",
		   "ADDRESS");
	for (size_t i = 0; i < json_object_array_length(list); i++) {
		struct json_object *n = json_object_array_get_idx(list, i);
		printf("%-16s %-14s %-8s %-8s %8" G_GUINT64_FORMAT " %8" G_GUINT64_FORMAT "  %s\n",
			   ctl_text(n, "name"), ctl_text(n, "hall"), ctl_text(n, "state"), ctl_text(n, "leaving"),
			   ctl_number(n, "config_revision"), ctl_number(n, "requests"), ctl_text(n, "caller_address"));
	}
	printf("\n%-14s %-16s %-16s %9s %6s %10s %9s\n", "POOL HALL", "MODEL", "SCHEDULER", "ENDPOINTS", "QUEUED",
		   "SHORT WAIT", "LONG WAIT");
	list = json_object_object_get(root, "pools");
	for (size_t i = 0; i < json_object_array_length(list); i++) {
		struct json_object *p = json_object_array_get_idx(list, i);
		printf("%-14s %-16s %-16s %9" G_GUINT64_FORMAT " %6" G_GUINT64_FORMAT " %7" G_GUINT64_FORMAT
			   " ms %6" G_GUINT64_FORMAT " ms\n",
			   ctl_text(p, "hall"), ctl_text(p, "model"), ctl_text(p, "scheduler"),
			   ctl_number(p, "endpoints"), ctl_number(p, "queued"), ctl_number(p, "short_wait_ms"),
			   ctl_number(p, "long_wait_ms"));
	}
	printf("\n%-16s %-14s %-16s %-9s %-6s %-7s %7s %12s %12s\n", "ENDPOINT", "HALL", "MODEL", "REACHABLE",
		   "READY", "LEAVING", "STREAMS", "GRANTED MB", "REPORTED MB");
	list = json_object_object_get(root, "endpoints");
	for (size_t i = 0; i < json_object_array_length(list); i++) {
		struct json_object *e = json_object_array_get_idx(list, i);
		printf("%-16s %-14s %-16s %-9s %-6s %-7s %7" G_GUINT64_FORMAT " %12.2f %12.2f\n", ctl_text(e, "name"),
			   ctl_text(e, "hall"), ctl_text(e, "model"), ctl_text(e, "reachable"), ctl_text(e, "ready"),
			   ctl_text(e, "leaving"), ctl_number(e, "streams"), (double)ctl_number(e, "granted_bytes") / MB,
			   (double)ctl_number(e, "reported_bytes") / MB);
	}
	(void)arguments;
	return EX_OK;
}

int ctl_status(const Options *o)
{
	int status;
	struct json_object *root = ctl_collect_status(o, &status);

	return ctl_show(o, status, root, print_, NULL);
}
