/* SPDX-License-Identifier: BSD-3-Clause */
/* Helpers over evhttp that the programs share. */
#ifndef BAYHOIST_SHARE_WEB_H
#define BAYHOIST_SHARE_WEB_H

#include <event2/http.h>
#include <json-c/json.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

void web_reply_json(struct evhttp_request *req, int status, struct json_object *body);
void web_reply_error(struct evhttp_request *req, int status, const char *verdict, const char *code,
					 const char *message);
const char *web_get_header(struct evhttp_request *req, const char *name);
bool web_get_body(struct evhttp_request *req, const char **data, size_t *len);
const char *web_get_path(struct evhttp_request *req);
char *web_get_query(struct evhttp_request *req, const char *name);
struct event *web_watch_hangup(struct event_base *base, struct evhttp_connection *conn);
void web_run_until_signal(struct event_base *base);
struct evhttp *web_listen(struct event_base *base, const char *address,
						  void (*cb)(struct evhttp_request *, void *), void *arg);

#endif
