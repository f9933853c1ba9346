/* SPDX-License-Identifier: BSD-3-Clause */
/* The endpoints as a gateway knows them: which leave, which want nothing of it for now, and which are
 * limited. */
#include <stdio.h>
#include <string.h>
#include <sysexits.h>
#include "ctl.h"

static int print_all_(struct json_object *answer, char **arguments);
static void print_(struct json_object *endpoint);

/* Lists all endpoints, or those of one service. */
int ctl_endpoints(const Options *o, char **arguments)
{
	int status = 0;
	struct json_object *answer = ctl_get(o, o->node, "/endpoints", &status);

	return ctl_show(o, status, answer, print_all_, arguments);
}

static int print_all_(struct json_object *answer, char **arguments)
{
	const char *service = arguments[0];
	struct json_object *list = json_object_object_get(answer, "endpoints");

	printf("%-24s %-16s %-12s %-8s %9s %9s %9s %9s %8s\n", "ENDPOINT", "SERVICE", "HALL", "STATE", "BACKOFF",
		   "OVERLOAD", "COLD", "LIMIT/S", "REQUESTS");
	for (size_t i = 0; i < json_object_array_length(list); i++) {
		struct json_object *e = json_object_array_get_idx(list, i);
		if (!service || !strcmp(ctl_text(e, "service"), service))
			print_(e);
	}
	return EX_OK;
}

static void print_(struct json_object *endpoint)
{
	double per_s = json_object_get_double(json_object_object_get(endpoint, "limit_per_s"));
	char limit[16] = "-";

	if (per_s > 0)
		g_snprintf(limit, sizeof limit, "%.2f", per_s);
	printf("%-24s %-16s %-12s %-8s %6" G_GUINT64_FORMAT " ms %6" G_GUINT64_FORMAT " ms %6" G_GUINT64_FORMAT
		   " ms %9s %8" G_GUINT64_FORMAT "\n",
		   ctl_text(endpoint, "id"), ctl_text(endpoint, "service"), ctl_text(endpoint, "hall"),
		   ctl_text(endpoint, "state"), ctl_number(endpoint, "backoff_ms"),
		   ctl_number(endpoint, "overloaded_ms"), ctl_number(endpoint, "cold_ms"), limit,
		   ctl_number(endpoint, "requests"));
}
