/* SPDX-License-Identifier: BSD-3-Clause */
/* One HTTP call on a connection of its own. */
#ifndef BAYHOIST_SHARE_WEB_CALL_H
#define BAYHOIST_SHARE_WEB_CALL_H

#include <event2/event.h>
#include <event2/http.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* `req` NULL or its response code 0: no answer came. */
typedef void (*WebCallDone)(struct evhttp_request *req, void *arg);

typedef struct WebCall WebCall;

#define WEB_ANSWER_HEAD_MAX (32 * 1024) /* bytes of an answer's head, which evhttp takes whole otherwise */

WebCall *web_call_new(struct event_base *base, struct evhttp_connection *conn, WebCallDone done, void *arg);
struct evhttp_request *web_call_get_request(const WebCall *call);
bool web_call_has_begun(const WebCall *call);
void web_call_limit(WebCall *call, size_t body_bytes, uint64_t time_ms);
void web_call_start(WebCall *call, enum evhttp_cmd_type method, const char *path);

#endif
