/* SPDX-License-Identifier: BSD-3-Clause */
/* Operators: resources, status, drain, events; and counters for monitoring. */
#include "daemon.h"

#include <event2/buffer.h>
#include <event2/http_struct.h>
#include <string.h>
#include "bayhoist/hash.h"
#include "clock.h"
#include "log.h"
#include "web.h"

#define APPLY_DEADLINE_US (8 * BH__SECOND_US)
#define EVENTS_A_REPLY 2000
#define POOLS_MAX 4096

typedef struct {
	struct evhttp_request *req;
} ApplyCall;

static const int ApplyHttpStatus_[] = {200, 400, 409, 503, 504};

static void on_apply_(struct evhttp_request *req, Daemon *d, const char *by);
static void on_applied_(void *ctx, const BH__ApplyResult *result);
static void on_resources_(struct evhttp_request *req, Daemon *d, const char *rest);
static struct json_object *write_resource_(Daemon *d, const BH__Resource *r);
static struct json_object *write_endpoint_status_(Daemon *d, const BH__Resource *r);
static void on_status_(struct evhttp_request *req, Daemon *d);
static struct json_object *write_members_(Daemon *d);
static struct json_object *write_pools_(Daemon *d);
static struct json_object *write_endpoints_(Daemon *d);
static struct json_object *write_counters_(Daemon *d);
static void on_events_(struct evhttp_request *req, Daemon *d);
static void add_histogram_(struct evbuffer *out, const char *name, const char *labels,
						   const BH__Histogram *h);
static void add_histograms_(struct evbuffer *out, const BH__NodeCounters *c);
static void on_metrics_(struct evhttp_request *req, Daemon *d);
static void add_u64_(struct json_object *object, const char *name, uint64_t n);
static void add_string_(struct json_object *object, const char *name, const char *text);

static void add_u64_(struct json_object *object, const char *name, uint64_t n)
{
	json_object_object_add(object, name, json_object_new_int64((int64_t)n));
}

static void add_string_(struct json_object *object, const char *name, const char *text)
{
	json_object_object_add(object, name, json_object_new_string(text));
}

/* Handles a request under /admin/v1/, and /metrics and /healthz. */
void admin_on_request(struct evhttp_request *req, Daemon *d, const char *path)
{
	uint64_t account_id;
	const char *name;
	bool is_operator = false;
	bool is_post = evhttp_request_get_command(req) == EVHTTP_REQ_POST;

	if (!strcmp(path, "/healthz")) {
		web_reply_json(req, d->leave_at_us ? 503 : 200, json_object_new_object());
		return;
	}
	if (!strcmp(path, "/metrics")) {
		on_metrics_(req, d);
		return;
	}
	if (!caller_authenticate(d, req, &account_id, &name, &is_operator) || !is_operator) {
		web_reply_error(req, 403, NULL, "forbidden", "this needs an operator's key");
		return;
	}
	if (!strcmp(path, "/admin/v1/apply") && is_post) {
		on_apply_(req, d, name);
	}
	else if (!strcmp(path, "/admin/v1/status")) {
		on_status_(req, d);
	}
	else if (!strcmp(path, "/admin/v1/events")) {
		on_events_(req, d);
	}
	else if (!strcmp(path, "/admin/v1/drain") && is_post) {
		bh__node_leave(d->node, clock_now_us());
		web_reply_json(req, 202, json_object_new_object());
	}
	else if (g_str_has_prefix(path, "/admin/v1/resources")) {
		on_resources_(req, d, path + strlen("/admin/v1/resources"));
	}
	else {
		web_reply_error(req, 404, NULL, "not-found", "there is no such path");
	}
}

static void on_apply_(struct evhttp_request *req, Daemon *d, const char *by)
{
	const char *id = web_get_header(req, "X-Bayhoist-Change-Id");
	const char *operator_name = web_get_header(req, "X-Bayhoist-Operator");
	const char *data;
	size_t len;
	ApplyCall *call;
	uint64_t now_us = clock_now_us();

	if (!id || !*id || strlen(id) >= BH__NAME_LEN) {
		web_reply_error(req, 400, NULL, "invalid",
						"header \"X-Bayhoist-Change-Id\": must have 1 to 63 characters, new for each change");
		return;
	}
	web_get_body(req, &data, &len);
	call = g_new0(ApplyCall, 1);
	call->req = req;
	bh__config_apply(bh__node_get_config(d->node), data, len, id, operator_name ? operator_name : by,
					 now_us + APPLY_DEADLINE_US, on_applied_, call, now_us);
}

static void on_applied_(void *ctx, const BH__ApplyResult *result)
{
	ApplyCall *call = ctx;

	if (result->status == BH__APPLY_OK) {
		struct json_object *root = json_object_new_object();
		add_u64_(root, "revision", result->revision);
		web_reply_json(call->req, 200, root);
	}
	else {
		web_reply_error(call->req, ApplyHttpStatus_[result->status], NULL,
						BH__ApplyStatusString[result->status], result->message);
	}
	g_free(call);
}

/* Handles "", "/KIND" and "/KIND/NAME". */
static void on_resources_(struct evhttp_request *req, Daemon *d, const char *rest)
{
	char **part = g_strsplit(*rest == '/' ? rest + 1 : rest, "/", 2);
	struct json_object *root = json_object_new_object();
	struct json_object *list = json_object_new_array();
	BH__Kind only = BH__KIND_COUNT;

	if (part[0] && part[0][0] && !bh__kind_parse(part[0], &only)) {
		web_reply_error(req, 404, NULL, "not-found", "there is no such kind of resource");
		json_object_put(root);
		json_object_put(list);
		g_strfreev(part);
		return;
	}
	for (int k = 0; k < BH__KIND_COUNT; k++) {
		const GPtrArray *all = bh__catalog_get_all(bh__node_get_catalog(d->node), (BH__Kind)k);
		for (guint i = 0; i < all->len; i++) {
			const BH__Resource *r = g_ptr_array_index(all, i);
			if ((only == BH__KIND_COUNT || k == (int)only) &&
				(!part[0] || !part[1] || !strcmp(part[1], r->name)))
				json_object_array_add(list, write_resource_(d, r));
		}
	}
	add_u64_(root, "revision", bh__config_get_revision(bh__node_get_config(d->node)));
	json_object_object_add(root, "resources", list);
	web_reply_json(req, 200, root);
	g_strfreev(part);
}

static struct json_object *write_resource_(Daemon *d, const BH__Resource *r)
{
	struct json_object *root = json_object_new_object();
	struct json_object *status;

	add_string_(root, "kind", BH__KindString[r->kind]);
	add_string_(root, "name", r->name);
	add_u64_(root, "generation", r->generation);
	json_object_object_add(root, "spec", bh__json_parse(r->spec_json, strlen(r->spec_json), NULL));
	status = r->kind == BH__KIND_ENDPOINT ? write_endpoint_status_(d, r) : NULL;
	if (!status)
		status = json_object_new_object();
	add_u64_(status, "observed_generation", r->generation); /* what this node works by */
	json_object_object_add(root, "status", status);
	return root;
}

/* Returns what the pool's scheduler sees of an endpoint; null on any other node. */
static struct json_object *write_endpoint_status_(Daemon *d, const BH__Resource *r)
{
	const BH__Pool *pool = bh__node_get_pool(d->node, r->as.endpoint.pool_id);
	BH__PoolEndpointState state;
	struct json_object *status;

	if (!pool || !bh__pool_get_endpoint_state(pool, r->id, &state))
		return NULL;
	status = json_object_new_object();
	json_object_object_add(status, "reachable", json_object_new_boolean(state.reachable));
	json_object_object_add(status, "ready", json_object_new_boolean(state.spec.ready));
	json_object_object_add(status, "leaving", json_object_new_boolean(state.spec.leaving));
	add_u64_(status, "granted_bytes", state.kv_granted_bytes);
	add_u64_(status, "reserved_bytes", state.kv_reserved_bytes);
	add_u64_(status, "reported_bytes", state.kv_reported_bytes);
	add_u64_(status, "foreign_bytes", state.kv_unaccounted_bytes);
	add_u64_(status, "streams", state.streams);
	return status;
}

static struct json_object *write_members_(Daemon *d)
{
	const BH__Members *m = bh__node_get_members(d->node);
	struct json_object *list = json_object_new_array();

	for (unsigned i = 0; i < bh__members_get_count(m); i++) {
		const BH__MemberInfo *info = bh__members_get(m, i);
		struct json_object *o = json_object_new_object();
		add_string_(o, "name", info->name);
		add_string_(o, "hall", info->hall);
		add_string_(o, "state", BH__MemberStateString[info->state]);
		json_object_object_add(o, "leaving", json_object_new_boolean(info->leaving));
		add_string_(o, "caller_address", info->caller_address);
		add_u64_(o, "config_revision", info->config_revision);
		add_u64_(o, "requests", info->load);
		json_object_array_add(list, o);
	}
	return list;
}

static struct json_object *write_pools_(Daemon *d)
{
	uint64_t id[POOLS_MAX];
	unsigned count = bh__node_get_pool_ids(d->node, id, POOLS_MAX);
	const GPtrArray *endpoints = bh__catalog_get_all(bh__node_get_catalog(d->node), BH__KIND_ENDPOINT);
	struct json_object *list = json_object_new_array();

	for (unsigned i = 0; i < count; i++) {
		const BH__MemberInfo *scheduler =
			bh__members_find(bh__node_get_members(d->node), bh__node_get_scheduler(d->node, id[i]));
		const BH__PoolDigest *digest = bh__node_get_digest(d->node, id[i]);
		struct json_object *o = json_object_new_object();
		for (guint k = 0; k < endpoints->len; k++) {
			const BH__Endpoint *e = &((const BH__Resource *)g_ptr_array_index(endpoints, k))->as.endpoint;
			if (e->pool_id == id[i]) {
				add_string_(o, "hall", e->hall);
				add_string_(o, "model", e->model);
				break;
			}
		}
		add_string_(o, "scheduler", scheduler ? scheduler->name : "");
		add_u64_(o, "endpoints", digest ? digest->endpoints : 0);
		add_u64_(o, "queued", digest ? digest->queued : 0);
		add_u64_(o, "short_wait_ms", digest ? digest->short_wait_us / BH__MS_US : 0);
		add_u64_(o, "long_wait_ms", digest ? digest->long_wait_us / BH__MS_US : 0);
		add_u64_(o, "granted_bytes", digest ? digest->kv_granted_bytes : 0);
		add_u64_(o, "total_bytes", digest ? digest->kv_total_bytes : 0);
		json_object_array_add(list, o);
	}
	return list;
}

/* Returns the endpoints of the pools that this node schedules. */
static struct json_object *write_endpoints_(Daemon *d)
{
	const GPtrArray *all = bh__catalog_get_all(bh__node_get_catalog(d->node), BH__KIND_ENDPOINT);
	struct json_object *list = json_object_new_array();

	for (guint i = 0; i < all->len; i++) {
		const BH__Resource *r = g_ptr_array_index(all, i);
		struct json_object *status = write_endpoint_status_(d, r);
		if (!status)
			continue;
		add_string_(status, "name", r->name);
		add_string_(status, "hall", r->as.endpoint.hall);
		add_string_(status, "model", r->as.endpoint.model);
		json_object_array_add(list, status);
	}
	return list;
}

static struct json_object *write_counters_(Daemon *d)
{
	const BH__NodeCounters *c = bh__node_get_counters(d->node);
	struct json_object *o = json_object_new_object();

	add_u64_(o, "requests", c->requests);
	add_u64_(o, "live", c->live);
	add_u64_(o, "ran", c->finished[BH__VERDICT_RAN]);
	add_u64_(o, "may_have_run", c->finished[BH__VERDICT_MAY_HAVE_RUN]);
	add_u64_(o, "not_run", c->finished[BH__VERDICT_NOT_RUN]);
	add_u64_(o, "refused", c->refused);
	add_u64_(o, "attempts", c->attempts);
	add_u64_(o, "retries", c->retries);
	add_u64_(o, "retries_denied", c->retries_denied);
	add_u64_(o, "resumes", c->resumes);
	add_u64_(o, "orphans_cancelled", c->orphans_cancelled);
	add_u64_(o, "pieces", c->answer_chunks);
	add_u64_(o, "crossed", c->dropped_answer_chunks);
	add_u64_(o, "peer_bytes_out", peers_get_counters(d->peers)->bytes_out);
	add_u64_(o, "peer_bytes_in", peers_get_counters(d->peers)->bytes_in);
	add_u64_(o, "peer_messages_out", peers_get_counters(d->peers)->messages_out);
	add_u64_(o, "peer_messages_in", peers_get_counters(d->peers)->messages_in);
	return o;
}

static void on_status_(struct evhttp_request *req, Daemon *d)
{
	struct json_object *root = json_object_new_object();

	add_string_(root, "name", d->settings.name);
	add_string_(root, "hall", d->settings.hall);
	add_u64_(root, "config_revision", bh__config_get_revision(bh__node_get_config(d->node)));
	json_object_object_add(root, "store_up", json_object_new_boolean(bh__node_store_is_up(d->node)));
	json_object_object_add(root, "nodes", write_members_(d));
	json_object_object_add(root, "pools", write_pools_(d));
	json_object_object_add(root, "endpoints", write_endpoints_(d));
	json_object_object_add(root, "counters", write_counters_(d));
	web_reply_json(req, 200, root);
}

/* Adds a histogram; `labels` is empty or ends with a comma. */
static void add_histogram_(struct evbuffer *out, const char *name, const char *labels, const BH__Histogram *h)
{
	uint64_t sum = 0;

	for (unsigned b = 0; b < BH__HISTOGRAM_BUCKETS - 1; b++) {
		sum += h->bucket[b];
		evbuffer_add_printf(out,
							"bayhoist_%s_ms_bucket{%sle=\"%" G_GUINT64_FORMAT "\"} %" G_GUINT64_FORMAT "\n",
							name, labels, bh__histogram_get_limit_ms(b), sum);
	}
	evbuffer_add_printf(out,
						"bayhoist_%s_ms_bucket{%sle=\"+Inf\"} %" G_GUINT64_FORMAT
						"\nbayhoist_%s_ms_sum{%s} %" G_GUINT64_FORMAT
						"\nbayhoist_%s_ms_count{%s} %" G_GUINT64_FORMAT "\n",
						name, labels, h->count, name, labels, h->sum_ms, name, labels, h->count);
}

static void add_histograms_(struct evbuffer *out, const BH__NodeCounters *c)
{
	static const char *const SizeLabels[BH__SIZE_CLASSES] = {"size=\"4k\",", "size=\"32k\",",
															 "size=\"100k\",", "size=\"over\","};

	evbuffer_add_printf(out, "# TYPE bayhoist_first_token_ms histogram\n");
	for (int i = 0; i < BH__SIZE_CLASSES; i++)
		add_histogram_(out, "first_token", SizeLabels[i], &c->first_token[i]);
	evbuffer_add_printf(out, "# TYPE bayhoist_whole_ms histogram\n");
	add_histogram_(out, "whole", "", &c->total_us);
}

static void on_metrics_(struct evhttp_request *req, Daemon *d)
{
	struct json_object *counters = write_counters_(d);
	struct evbuffer *out = evbuffer_new();

	json_object_object_foreach(counters, name, value)
	{
		bool is_gauge = !strcmp(name, "live");
		evbuffer_add_printf(out, "# TYPE bayhoist_%s%s %s\nbayhoist_%s%s %s\n", name,
							is_gauge ? "" : "_total", is_gauge ? "gauge" : "counter", name,
							is_gauge ? "" : "_total", json_object_get_string(value));
	}
	evbuffer_add_printf(
		out, "# TYPE bayhoist_config_revision gauge\nbayhoist_config_revision %" G_GUINT64_FORMAT "\n",
		bh__config_get_revision(bh__node_get_config(d->node)));
	add_histograms_(out, bh__node_get_counters(d->node));
	evhttp_add_header(evhttp_request_get_output_headers(req), "Content-Type", "text/plain; version=0.0.4");
	evhttp_send_reply(req, 200, NULL, out);
	evbuffer_free(out);
	json_object_put(counters);
}

/* Logs an event of the node and keeps it for the time line. */
void admin_on_event(BH__NodePorts *ports, const BH__Event *e)
{
	Daemon *d = (Daemon *)ports;
	char detail[400];
	char *line;

	g_snprintf(detail, sizeof detail, "what=%s", e->what ? e->what : "");
	if (e->subject)
		g_snprintf(detail + strlen(detail), sizeof detail - strlen(detail), " subject=\"%.200s\"",
				   e->subject);
	if (e->request_id)
		g_snprintf(detail + strlen(detail), sizeof detail - strlen(detail),
				   " request=%016" G_GINT64_MODIFIER "x", e->request_id);
	if (e->attempt_id)
		g_snprintf(detail + strlen(detail), sizeof detail - strlen(detail),
				   " attempt=%016" G_GINT64_MODIFIER "x", e->attempt_id);
	g_snprintf(detail + strlen(detail), sizeof detail - strlen(detail), " value=%" G_GUINT64_FORMAT,
			   e->value);
	log_event(BH__EventTypeString[e->type], "%s", detail);
	line = g_strdup_printf("time_us=%" G_GUINT64_FORMAT " process=%s hall=%s event=%s %s", clock_wall_us(),
						   d->settings.name, d->settings.hall, BH__EventTypeString[e->type], detail);
	g_queue_push_tail(d->events, line);
	if (d->events->length > EVENTS_KEPT) {
		g_free(g_queue_pop_head(d->events));
		d->events_first++;
	}
}

/* Sends the events from number `since` on, one a line, and the number to ask from next. */
static void on_events_(struct evhttp_request *req, Daemon *d)
{
	char *text = web_get_query(req, "since");
	uint64_t since = text ? g_ascii_strtoull(text, NULL, 10) : 0;
	struct evbuffer *out = evbuffer_new();
	uint64_t number = d->events_first;
	uint64_t sent = 0;
	char next[24];

	for (GList *it = d->events->head; it && sent < EVENTS_A_REPLY; it = it->next, number++) {
		if (number < since)
			continue;
		evbuffer_add_printf(out, "%s\n", (const char *)it->data);
		sent++;
	}
	g_snprintf(next, sizeof next, "%" G_GUINT64_FORMAT, MAX(number, since));
	evhttp_add_header(evhttp_request_get_output_headers(req), "X-Bayhoist-Next", next);
	evhttp_add_header(evhttp_request_get_output_headers(req), "Content-Type", "text/plain");
	evhttp_send_reply(req, 200, NULL, out);
	evbuffer_free(out);
	g_free(text);
}
