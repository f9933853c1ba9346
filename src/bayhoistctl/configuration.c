/* SPDX-License-Identifier: BSD-3-Clause */
/* A gateway's configuration: the version in force, whether it is the newest that is known, and the causes of
 * what could not be decoded. */
#include <stdio.h>
#include <sysexits.h>
#include "ctl.h"

static int print_(struct json_object *answer, char **arguments);

int ctl_configuration(const Options *o, char **arguments)
{
	int status = 0;
	struct json_object *answer = ctl_get(o, o->node, "/configuration", &status);

	return ctl_show(o, status, answer, print_, arguments);
}

static int print_(struct json_object *answer, char **arguments)
{
	struct json_object *parts = json_object_object_get(answer, "parts_refused");

	(void)arguments;
	printf("configuration %s for %" G_GUINT64_FORMAT " ms; version %" G_GUINT64_FORMAT
		   ", known to be the newest %" G_GUINT64_FORMAT " ms ago\n",
		   ctl_text(answer, "state"), ctl_number(answer, "since_ms"), ctl_number(answer, "version"),
		   ctl_number(answer, "age_ms"));
	if (json_object_object_get_ex(answer, "cause", NULL))
		printf("a newer one can't be decoded (version %" G_GUINT64_FORMAT ", 0: unknown): %s\n",
			   ctl_number(answer, "refused_version"), ctl_text(answer, "cause"));
	for (size_t i = 0; i < json_object_array_length(parts); i++)
		printf("not in force: %s\n", json_object_get_string(json_object_array_get_idx(parts, i)));
	return EX_OK;
}
