/* SPDX-License-Identifier: BSD-3-Clause */
/* A gateway's own links to the endpoints: whether they are cut, what that rests on, and the peers that its
 * requests go through. */
#include <stdio.h>
#include <sysexits.h>
#include "ctl.h"

static int print_(struct json_object *answer, char **arguments);

int ctl_links(const Options *o, char **arguments)
{
	int status = 0;
	struct json_object *answer = ctl_get(o, o->node, "/links", &status);

	return ctl_show(o, status, answer, print_, arguments);
}

static int print_(struct json_object *answer, char **arguments)
{
	struct json_object *peers = json_object_object_get(answer, "peers");

	(void)arguments;
	printf("links %s for %" G_GUINT64_FORMAT " ms; endpoints that failed %" G_GUINT64_FORMAT
		   ", of these reached by peers %" G_GUINT64_FORMAT "; failed connections %" G_GUINT64_FORMAT "\n",
		   ctl_text(answer, "links"), ctl_number(answer, "since_ms"), ctl_number(answer, "failed_endpoints"),
		   ctl_number(answer, "reached_by_peers"), ctl_number(answer, "failures"));
	printf("requests of peers through this node %" G_GUINT64_FORMAT "\n",
		   ctl_number(answer, "requests_of_peers"));
	for (size_t i = 0; i < json_object_array_length(peers); i++) {
		struct json_object *p = json_object_array_get_idx(peers, i);
		printf("%-24s links %-4s requests through it %" G_GUINT64_FORMAT "\n", ctl_text(p, "node"),
			   ctl_text(p, "links"), ctl_number(p, "requests_through_it"));
	}
	return EX_OK;
}
