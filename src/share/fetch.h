/* SPDX-License-Identifier: BSD-3-Clause */
/* One HTTP call that waits for its answer; for command-line programs. */
#ifndef BAYHOIST_SHARE_FETCH_H
#define BAYHOIST_SHARE_FETCH_H

#include <event2/http.h>
#include <json-c/json.h>
#include <stddef.h>

typedef struct {
	const char *address; /* IP:port */
	const char *ca;      /* use TLS, trusting these authorities; NULL: plain HTTP */
	const char *key;     /* sent as a bearer key; NULL: none */
	enum evhttp_cmd_type method;
	const char *path;
	const char *body;        /* NULL: none */
	const char *header_name; /* one more header; NULL: none */
	const char *header_value;
	int timeout_s;
} FetchCall;

typedef struct {
	int status; /* 0: no answer */
	char *body; /* free with g_free() */
	size_t len;
} FetchReply;

void fetch(const FetchCall *call, FetchReply *reply);
struct json_object *fetch_json(const FetchCall *call, int *status);

#endif
