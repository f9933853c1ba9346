/* SPDX-License-Identifier: BSD-3-Clause */
/* What the commands share: asking a node, saying what went wrong, reading fields of answers. */
#include "ctl.h"

#include <stdio.h>
#include <sysexits.h>

/* Asks a node; returns the JSON of its answer, or NULL. */
struct json_object *ctl_get(const Options *o, const char *node, const char *path, int *status)
{
	FetchCall call = {.address = node, .ca = o->ca, .key = o->key, .method = EVHTTP_REQ_GET, .path = path};
	return fetch_json(&call, status);
}

/* Says what went wrong; returns the exit status. Frees `answer`. */
int ctl_fail(int status, struct json_object *answer)
{
	struct json_object *error =
		json_object_is_type(answer, json_type_object) ? json_object_object_get(answer, "error") : NULL;
	if (!status)
		fputs("bayhoistctl: the node does not answer\n", stderr);
	else
		fprintf(stderr, "bayhoistctl: %s (HTTP status %d)\n", error ? ctl_text(error, "message") : "refused",
				status);
	json_object_put(answer);
	return !status ? EX_UNAVAILABLE : status == 504 ? EX_TEMPFAIL : 1;
}

/* Shows an answer and frees it: as JSON if that is wanted, else by `print`, which returns the exit status. */
int ctl_show(const Options *o, int status, struct json_object *answer, CtlPrint print, char **arguments)
{
	int result = EX_OK;

	if (status != 200)
		return ctl_fail(status, answer);
	if (o->json)
		puts(json_object_to_json_string_ext(answer, JSON_C_TO_STRING_PRETTY));
	else
		result = print(answer, arguments);
	json_object_put(answer);
	return result;
}

const char *ctl_text(struct json_object *o, const char *name)
{
	const char *text = json_object_get_string(json_object_object_get(o, name));
	return text ? text : "";
}

uint64_t ctl_number(struct json_object *o, const char *name)
{
	return (uint64_t)json_object_get_int64(json_object_object_get(o, name));
}

/* Returns the value of " key=" in a line, to be freed with g_free(), or NULL. */
char *ctl_log_value(const char *line, const char *key)
{
	char *needle = g_strdup_printf("%s=", key);
	const char *at = line;
	char *value = NULL;

	while ((at = strstr(at, needle)) && at != line && at[-1] != ' ')
		at++;
	if (at) {
		at += strlen(needle);
		value = *at == '"' ? g_strndup(at + 1, strcspn(at + 1, "\"")) : g_strndup(at, strcspn(at, " \n"));
	}
	g_free(needle);
	return value;
}
