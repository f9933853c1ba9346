/* SPDX-License-Identifier: BSD-3-Clause */
/* How the engines of each service are divided between tight streams and long prompts, as one gateway sees it.
 */
#include <stdio.h>
#include <sysexits.h>
#include "ctl.h"

static int print_(struct json_object *answer, char **arguments);

int ctl_prefill(const Options *o, char **arguments)
{
	int status = 0;
	struct json_object *answer = ctl_get(o, o->node, "/prefill", &status);

	return ctl_show(o, status, answer, print_, arguments);
}

static int print_(struct json_object *answer, char **arguments)
{
	struct json_object *list = json_object_object_get(answer, "services");

	(void)arguments;
	printf("%-20s %-9s %8s %9s %8s %8s\n", "SERVICE", "SCHEDULES", "ENGINES", "SET-ASIDE", "READING",
		   "TIGHT");
	for (size_t i = 0; i < json_object_array_length(list); i++) {
		struct json_object *s = json_object_array_get_idx(list, i);
		printf("%-20s %-9s %8" G_GUINT64_FORMAT " %9" G_GUINT64_FORMAT " %8" G_GUINT64_FORMAT
			   " %8" G_GUINT64_FORMAT "\n",
			   ctl_text(s, "service"),
			   json_object_get_boolean(json_object_object_get(s, "schedules")) ? "yes" : "no",
			   ctl_number(s, "engines"), ctl_number(s, "set_aside"), ctl_number(s, "reading"),
			   ctl_number(s, "tight"));
	}
	return EX_OK;
}
