/* SPDX-License-Identifier: BSD-3-Clause */
/* The long prompts that wait for engines at a gateway, and when they are booked to start. */
#include <stdio.h>
#include <sysexits.h>
#include "ctl.h"

static int print_(struct json_object *answer, char **arguments);

int ctl_bookings(const Options *o, char **arguments)
{
	int status = 0;
	struct json_object *answer = ctl_get(o, o->node, "/bookings", &status);

	return ctl_show(o, status, answer, print_, arguments);
}

static int print_(struct json_object *answer, char **arguments)
{
	struct json_object *list = json_object_object_get(answer, "bookings");

	(void)arguments;
	printf("%-24s %12s %10s %-8s %10s\n", "SERVICE", "TOKENS", "WAITED MS", "STATE", "IN MS");
	for (size_t i = 0; i < json_object_array_length(list); i++) {
		struct json_object *b = json_object_array_get_idx(list, i);
		printf("%-24s %12" G_GUINT64_FORMAT " %10" G_GUINT64_FORMAT " %-8s %10" G_GUINT64_FORMAT "\n",
			   ctl_text(b, "service"), ctl_number(b, "prompt_tokens"), ctl_number(b, "waited_ms"),
			   ctl_text(b, "state"), ctl_number(b, "in_ms"));
	}
	return EX_OK;
}
