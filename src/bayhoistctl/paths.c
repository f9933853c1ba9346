/* SPDX-License-Identifier: BSD-3-Clause */
/* The paths from a gateway's data hall to the others: which are lost, since when, and what that rests on. */
#include <stdio.h>
#include <sysexits.h>
#include "ctl.h"

static int print_(struct json_object *answer, char **arguments);

int ctl_paths(const Options *o, char **arguments)
{
	int status = 0;
	struct json_object *answer = ctl_get(o, o->node, "/links", &status);

	return ctl_show(o, status, answer, print_, arguments);
}

static int print_(struct json_object *answer, char **arguments)
{
	struct json_object *paths = json_object_object_get(answer, "paths");

	(void)arguments;
	for (size_t i = 0; i < json_object_array_length(paths); i++) {
		struct json_object *p = json_object_array_get_idx(paths, i);
		printf("%-24s path %-8s for %" G_GUINT64_FORMAT
			   " ms; heard %s; targets that failed %" G_GUINT64_FORMAT
			   "; nodes that report it %" G_GUINT64_FORMAT "; way over another hall %s\n",
			   ctl_text(p, "hall"), ctl_text(p, "path"), ctl_number(p, "since_ms"), ctl_text(p, "heard"),
			   ctl_number(p, "failed_targets"), ctl_number(p, "reporters"), ctl_text(p, "detour"));
	}
	return EX_OK;
}
