/* SPDX-License-Identifier: BSD-3-Clause */
/* Requests and parts of prompts that crash endpoints, as a gateway knows them: the list, one of them, and its
 * release. The second half of a part's fingerprint is the part's id. */
#include <stdio.h>
#include <string.h>
#include <sysexits.h>
#include "ctl.h"

#define TIMEOUT_S 5

static struct json_object *release_(const Options *o, const char *fingerprint, int *status);
static int print_all_(struct json_object *answer, char **arguments);
static void print_(struct json_object *entry);

/* Lists all, shows the one named, or releases it. */
int ctl_suspects(const Options *o, char **arguments)
{
	const char *fingerprint = arguments[0];
	bool releases = fingerprint && arguments[1] && !strcmp(arguments[1], "release");
	int status = 0;
	struct json_object *answer =
		releases ? release_(o, fingerprint, &status) : ctl_get(o, o->node, "/quarantine", &status);

	return ctl_show(o, status, answer, print_all_, arguments);
}

/* One that is named and not there is an error. */
static int print_all_(struct json_object *answer, char **arguments)
{
	const char *fingerprint = arguments[0];
	struct json_object *list = json_object_object_get(answer, "requests");
	unsigned shown = 0;

	printf("%-32s  %-10s %8s %6s %8s  %-7s  %s\n", "FINGERPRINT", "STATE", "CRASHES", "TIMES", "HELD FOR",
		   "KIND", "ENDPOINTS");
	for (size_t i = 0; i < json_object_array_length(list); i++) {
		struct json_object *entry = json_object_array_get_idx(list, i);
		if (fingerprint && strcmp(ctl_text(entry, "fingerprint"), fingerprint) != 0)
			continue;
		print_(entry);
		shown++;
	}
	return fingerprint && !shown ? 1 : EX_OK;
}

static struct json_object *release_(const Options *o, const char *fingerprint, int *status)
{
	char *path = g_strconcat("/quarantine/release?fingerprint=", fingerprint, NULL);
	FetchCall call = {.address = o->node,
					  .ca = o->ca,
					  .key = o->key,
					  .method = EVHTTP_REQ_POST,
					  .path = path,
					  .body = "",
					  .timeout_s = TIMEOUT_S};
	struct json_object *root = fetch_json(&call, status);

	g_free(path);
	return root;
}

static void print_(struct json_object *entry)
{
	struct json_object *endpoints = json_object_object_get(entry, "endpoints");

	printf("%-32s  %-10s %8.1f %6" G_GUINT64_FORMAT " %6" G_GUINT64_FORMAT " s  %-7s ",
		   ctl_text(entry, "fingerprint"), ctl_text(entry, "state"),
		   json_object_get_double(json_object_object_get(entry, "crashes")), ctl_number(entry, "times_held"),
		   ctl_number(entry, "held_s"), ctl_text(entry, "kind"));
	for (size_t i = 0; i < json_object_array_length(endpoints); i++)
		printf(" %s", json_object_get_string(json_object_array_get_idx(endpoints, i)));
	putchar('\n');
}
