/* SPDX-License-Identifier: BSD-3-Clause */
/* Load reports of engines, and orders to them. */
#include "daemon.h"

#include <event2/buffer.h>
#include <event2/http_struct.h>
#include <stdio.h>
#include <string.h>
#include "bayhoist/field.h"
#include "clock.h"
#include "head_check.h"
#include "log.h"
#include "web.h"
#include "web_call.h"

#define POLL_TIMEOUT_S 1
#define REPORT_MAX_BYTES (4 * 1024 * 1024) /* of an engine's load, with its cache events and attempts */
#define ORDER_TIMEOUT_S 20
#define ORDER_REPLY_MAX_BYTES (64 * 1024) /* of which only the status is of use */

/* The connection on which one endpoint is polled; it is kept open. */
typedef struct {
	Daemon *daemon;
	uint64_t endpoint_id;
	char address[BH__ADDRESS_LEN];
	struct evhttp_connection *conn;
	HeadCheck *check;
	bool waiting;
	bool was_reachable;
} Poll;

typedef struct {
	Daemon *daemon;
	char name[BH__NAME_LEN];
	char action[32];
	uint64_t fence;
} OrderCall;

static void free_poll_(Poll *p);
static void on_report_(struct evhttp_request *req, void *arg);
static bool read_report_(struct evhttp_request *req, BH__LoadReport *r, GArray *attempts, GArray *events,
						 GPtrArray *loaded);
static uint64_t number_(struct json_object *root, const char *name);
static uint64_t hex_(struct json_object *root, const char *name);
static void read_attempts_(struct json_object *root, GArray *attempts);
static void read_cache_(struct json_object *root, BH__LoadReport *r, GArray *events);
static void read_loaded_(struct json_object *root, GPtrArray *loaded);
static struct json_object *list_(struct json_object *root, const char *name, size_t *count);
static void on_ordered_(struct evhttp_request *req, void *arg);

/* Asks an engine for its load. While one poll is out another is not sent. */
void poll_start(BH__NodePorts *ports, uint64_t endpoint_id, uint64_t cache_sequence, bool with_attempts)
{
	Daemon *d = (Daemon *)ports;
	const BH__Resource *r = bh__catalog_find(bh__node_get_catalog(d->node), BH__KIND_ENDPOINT, endpoint_id);
	Poll *p = g_hash_table_lookup(d->polls, &endpoint_id);
	struct evhttp_request *req;
	char path[64];

	if (!r || (p && p->waiting))
		return;
	if (p && strcmp(p->address, r->as.endpoint.address) != 0) {
		g_hash_table_remove(d->polls, &endpoint_id);
		free_poll_(p);
		p = NULL;
	}
	if (!p) {
		p = g_new0(Poll, 1);
		p->daemon = d;
		p->endpoint_id = endpoint_id;
		p->was_reachable = true;
		g_strlcpy(p->address, r->as.endpoint.address, sizeof p->address);
		p->conn = connect_open(d, p->address, r->as.endpoint.tls);
		p->check = head_check_new(p->conn);
		evhttp_connection_set_timeout(p->conn, POLL_TIMEOUT_S);
		evhttp_connection_set_max_body_size(p->conn, REPORT_MAX_BYTES);
		g_hash_table_insert(d->polls, &p->endpoint_id, p);
	}
	p->waiting = true;
	head_check_restart(p->check);
	req = evhttp_request_new(on_report_, p);
	evhttp_add_header(evhttp_request_get_output_headers(req), "Host", p->address);
	g_snprintf(path, sizeof path, "/v1/load?cache_since=%" G_GUINT64_FORMAT "&attempts=%d", cache_sequence,
			   with_attempts);
	evhttp_make_request(p->conn, req, EVHTTP_REQ_GET, path);
}

static void free_poll_(Poll *p)
{
	head_check_delete(p->check);
	evhttp_connection_free(p->conn);
	g_free(p);
}

void polls_free(Daemon *d)
{
	GList *all = g_hash_table_get_values(d->polls);
	for (GList *it = all; it; it = it->next)
		free_poll_(it->data);
	g_list_free(all);
	g_hash_table_remove_all(d->polls);
}

static void on_report_(struct evhttp_request *req, void *arg)
{
	Poll *p = arg;
	GArray *attempts = g_array_new(FALSE, FALSE, sizeof(BH__ReportedAttempt));
	GArray *events = g_array_new(FALSE, FALSE, sizeof(BH__CacheEvent));
	GPtrArray *loaded = g_ptr_array_new_with_free_func(g_free);
	BH__LoadReport r = {.endpoint_id = p->endpoint_id};

	p->waiting = false;
	if (head_check_get_fault(p->check))
		log_event("report", "what=bad-answer cause=\"%s\"", head_check_get_fault(p->check));
	r.reachable = req && !head_check_get_fault(p->check) && read_report_(req, &r, attempts, events, loaded);
	g_ptr_array_add(loaded, NULL);
	r.attempt = (const BH__ReportedAttempt *)(void *)attempts->data;
	r.attempt_count = attempts->len;
	r.cache_event = (const BH__CacheEvent *)(void *)events->data;
	r.cache_event_count = events->len;
	if (r.reachable != p->was_reachable) {
		const BH__Resource *e =
			bh__catalog_find(bh__node_get_catalog(p->daemon->node), BH__KIND_ENDPOINT, p->endpoint_id);
		BH__Event event = {.type = BH__EVENT_ENDPOINT,
						   .subject = e ? e->name : "",
						   .what = r.reachable ? "reachable" : "unreachable"};
		p->was_reachable = r.reachable;
		admin_on_event(&p->daemon->ports, &event);
	}
	bh__node_process_report(p->daemon->node, &r, (const char *const *)loaded->pdata, clock_now_us());
	g_array_unref(attempts);
	g_array_unref(events);
	g_ptr_array_unref(loaded);
}

static uint64_t number_(struct json_object *root, const char *name)
{
	struct json_object *value = json_object_object_get(root, name);
	int64_t n = json_object_is_type(value, json_type_int) ? json_object_get_int64(value) : 0;
	return n > 0 ? (uint64_t)n : 0;
}

static uint64_t hex_(struct json_object *root, const char *name)
{
	struct json_object *value = json_object_object_get(root, name);
	return json_object_is_type(value, json_type_string)
			   ? g_ascii_strtoull(json_object_get_string(value), NULL, 16)
			   : 0;
}

static struct json_object *list_(struct json_object *root, const char *name, size_t *count)
{
	struct json_object *list = json_object_object_get(root, name);
	*count = json_object_is_type(list, json_type_array) ? json_object_array_length(list) : 0;
	return list;
}

/* Reads a report into `r` and the lists. Returns false if it is not one. */
static bool read_report_(struct evhttp_request *req, BH__LoadReport *r, GArray *attempts, GArray *events,
						 GPtrArray *loaded)
{
	const char *data;
	size_t len;
	struct json_object *root;

	if (evhttp_request_get_response_code(req) != 200)
		return false;
	web_get_body(req, &data, &len);
	root = bh__json_parse(data, len, NULL);
	if (!json_object_is_type(root, json_type_object)) {
		json_object_put(root);
		return false;
	}
	r->boot_id = hex_(root, "boot");
	r->kv_total_bytes = number_(root, "kv_total_bytes");
	r->kv_used_bytes = number_(root, "kv_used_bytes");
	r->prefill_tokens_per_s = number_(root, "prefill_tokens_per_s");
	r->token_us = number_(root, "token_us");
	r->has_attempts = json_object_object_get_ex(root, "attempts", NULL);
	read_attempts_(root, attempts);
	read_cache_(root, r, events);
	read_loaded_(root, loaded);
	json_object_put(root);
	return true;
}

static void read_attempts_(struct json_object *root, GArray *attempts)
{
	size_t count;
	struct json_object *list = list_(root, "attempts", &count);

	for (size_t i = 0; i < count; i++) {
		struct json_object *item = json_object_array_get_idx(list, i);
		struct json_object *owner = json_object_object_get(item, "owner");
		BH__ReportedAttempt a = {.attempt_id = hex_(item, "id"), .kv_bytes = number_(item, "kv_bytes")};
		if (owner)
			sscanf(json_object_get_string(owner), "%16" G_GINT64_MODIFIER "x-%16" G_GINT64_MODIFIER "x",
				   &a.owner_node, &a.owner_boot);
		g_array_append_val(attempts, a);
	}
}

static void read_cache_(struct json_object *root, BH__LoadReport *r, GArray *events)
{
	size_t count;
	struct json_object *list = list_(root, "cache_events", &count);

	r->cache_first_sequence = number_(root, "cache_first");
	for (size_t i = 0; i < count; i++) {
		const char *text = json_object_get_string(json_object_array_get_idx(list, i));
		BH__CacheEvent e = {.kind = text && text[0] == '-' ? BH__CACHE_EVICTED : BH__CACHE_ADDED};
		e.hash = text && text[0] ? g_ascii_strtoull(text + 1, NULL, 16) : 0;
		g_array_append_val(events, e);
	}
}

static void read_loaded_(struct json_object *root, GPtrArray *loaded)
{
	size_t count;
	struct json_object *list = list_(root, "loaded", &count);

	for (size_t i = 0; i < count; i++)
		g_ptr_array_add(loaded, g_strdup(json_object_get_string(json_object_array_get_idx(list, i))));
}

/* Sends an order. What came of it shows in the endpoint's next report. */
void order_start(BH__NodePorts *ports, const BH__Order *order)
{
	Daemon *d = (Daemon *)ports;
	const BH__Resource *r =
		bh__catalog_find(bh__node_get_catalog(d->node), BH__KIND_ENDPOINT, order->endpoint_id);
	struct json_object *body;
	struct evhttp_connection *conn;
	struct evhttp_request *req;
	OrderCall *call;
	WebCall *web;
	const char *text;

	if (!r)
		return;
	call = g_new0(OrderCall, 1);
	call->daemon = d;
	call->fence = order->fence;
	g_strlcpy(call->name, r->name, sizeof call->name);
	g_strlcpy(call->action, order->action, sizeof call->action);
	body = json_object_new_object();
	json_object_object_add(body, "action", json_object_new_string(order->action));
	json_object_object_add(body, "target", json_object_new_string(order->target));
	json_object_object_add(body, "fence", json_object_new_int64((int64_t)order->fence));
	json_object_object_add(body, "weight_bytes", json_object_new_int64((int64_t)order->weight_bytes));
	text = json_object_to_json_string_ext(body, JSON_C_TO_STRING_PLAIN);
	conn = connect_open(d, r->as.endpoint.address, r->as.endpoint.tls);
	evhttp_connection_set_timeout(conn, ORDER_TIMEOUT_S);
	web = web_call_new(d->base, conn, on_ordered_, call);
	web_call_limit(web, ORDER_REPLY_MAX_BYTES, ORDER_TIMEOUT_S * 1000);
	req = web_call_get_request(web);
	evhttp_add_header(evhttp_request_get_output_headers(req), "Host", r->as.endpoint.address);
	evhttp_add_header(evhttp_request_get_output_headers(req), "Connection", "close");
	evbuffer_add(evhttp_request_get_output_buffer(req), text, strlen(text));
	web_call_start(web, EVHTTP_REQ_POST, "/admin/orders");
	json_object_put(body);
}

static void on_ordered_(struct evhttp_request *req, void *arg)
{
	OrderCall *call = arg;
	int status = req ? evhttp_request_get_response_code(req) : 0;

	log_event("order-answered", "endpoint=%s action=%s fence=%" G_GUINT64_FORMAT " status=%d", call->name,
			  call->action, call->fence, status);
	g_free(call);
}
