/* SPDX-License-Identifier: BSD-3-Clause */
/* bh-fake-platform: a small stand-in for the platform. It serves the subset of etcd's JSON gateway that
 * bayhoist uses, the VM list and a rate-limited weight store, and has a switch for each fault:
 *   POST /fault {"outage": bool, "hang": bool, "slow_ms": N, "lose_answers": N, "vm_lag_ms": N}
 * GET /stats gives the calls so far and the most in any one second. */
#include <event2/buffer.h>
#include <event2/event.h>
#include <event2/http.h>
#include <getopt.h>
#include <glib.h>
#include <stdio.h>
#include <string.h>
#include <sysexits.h>
#include "bayhoist/field.h"
#include "bayhoist/bucket.h"
#include "clock.h"
#include "log.h"
#include "version.h"
#include "web.h"

#define LEASE_TICK_MS 100
#define WEIGHT_BYTES_PER_S 4e9

typedef struct {
	char *key;
	char *value; /* base64, as it came */
	uint64_t mod_revision;
	uint64_t lease_id;
} Entry;

typedef struct {
	uint64_t id;
	uint64_t ttl_s;
	uint64_t expires_us;
} Lease;

typedef struct {
	uint64_t reads;
	uint64_t writes;
	uint64_t peak_reads_per_s;
	uint64_t peak_writes_per_s;
	uint64_t second;
	uint64_t reads_this_s;
	uint64_t writes_this_s;
} Stats;

typedef struct {
	struct event_base *base;
	GHashTable *entries; /* Entry by key */
	GHashTable *leases;  /* Lease by id */
	uint64_t revision;
	uint64_t next_lease;
	bool outage;
	bool hang;
	uint64_t slow_ms;
	uint64_t lose_answers;
	uint64_t vm_lag_ms;
	char *vms;        /* the list as set last */
	char *vms_before; /* and before that, served until the lag is over */
	uint64_t vms_set_us;
	BH__Bucket weights;
	Stats stats;
} Platform;

typedef struct {
	struct evhttp_request *req;
	struct json_object *body;
	int status;
} Delayed;

static void count_(Platform *p, bool is_write)
{
	uint64_t second = clock_now_us() / BH__SECOND_US;
	Stats *s = &p->stats;

	if (second != s->second) {
		s->second = second;
		s->reads_this_s = 0;
		s->writes_this_s = 0;
	}
	s->reads += !is_write;
	s->writes += is_write;
	s->reads_this_s += !is_write;
	s->writes_this_s += is_write;
	s->peak_reads_per_s = MAX(s->peak_reads_per_s, s->reads_this_s);
	s->peak_writes_per_s = MAX(s->peak_writes_per_s, s->writes_this_s);
}

static void free_entry_(gpointer entry)
{
	Entry *e = entry;
	g_free(e->key);
	g_free(e->value);
	g_free(e);
}

static uint64_t number_(struct json_object *o, const char *name)
{
	struct json_object *value = NULL;
	if (!json_object_is_type(o, json_type_object) || !json_object_object_get_ex(o, name, &value))
		return 0;
	return g_ascii_strtoull(json_object_get_string(value), NULL, 10);
}

static const char *text_(struct json_object *o, const char *name)
{
	struct json_object *value = NULL;
	if (!json_object_is_type(o, json_type_object) || !json_object_object_get_ex(o, name, &value))
		return "";
	return json_object_get_string(value);
}

static void add_number_(struct json_object *o, const char *name, uint64_t n)
{
	char text[24];
	g_snprintf(text, sizeof text, "%" G_GUINT64_FORMAT, n);
	json_object_object_add(o, name, json_object_new_string(text));
}

static struct json_object *header_(const Platform *p)
{
	struct json_object *header = json_object_new_object();
	add_number_(header, "revision", p->revision);
	return header;
}

static void put_(Platform *p, struct json_object *op)
{
	const char *key = text_(op, "key");
	Entry *e = g_new0(Entry, 1);

	e->key = g_strdup(key);
	e->value = g_strdup(text_(op, "value"));
	e->mod_revision = ++p->revision;
	e->lease_id = number_(op, "lease");
	g_hash_table_replace(p->entries, e->key, e);
}

static struct json_object *range_(Platform *p, struct json_object *call)
{
	struct json_object *root = json_object_new_object();
	struct json_object *kvs = json_object_new_array();
	const Entry *e = g_hash_table_lookup(p->entries, text_(call, "key"));

	if (e) {
		struct json_object *kv = json_object_new_object();
		json_object_object_add(kv, "key", json_object_new_string(e->key));
		json_object_object_add(kv, "value", json_object_new_string(e->value));
		add_number_(kv, "mod_revision", e->mod_revision);
		json_object_array_add(kvs, kv);
	}
	json_object_object_add(root, "header", header_(p));
	json_object_object_add(root, "kvs", kvs);
	return root;
}

static struct json_object *txn_(Platform *p, struct json_object *call)
{
	struct json_object *root = json_object_new_object();
	struct json_object *compare = json_object_array_get_idx(json_object_object_get(call, "compare"), 0);
	struct json_object *success = json_object_array_get_idx(json_object_object_get(call, "success"), 0);
	const Entry *e = g_hash_table_lookup(p->entries, text_(compare, "key"));
	bool ok = (e ? e->mod_revision : 0) == number_(compare, "mod_revision");

	if (ok)
		put_(p, json_object_object_get(success, "requestPut"));
	json_object_object_add(root, "header", header_(p));
	if (ok)
		json_object_object_add(root, "succeeded", json_object_new_boolean(true));
	return root;
}

static struct json_object *lease_grant_(Platform *p, struct json_object *call)
{
	struct json_object *root = json_object_new_object();
	Lease *l = g_new0(Lease, 1);

	l->id = ++p->next_lease;
	l->ttl_s = number_(call, "TTL");
	l->expires_us = clock_now_us() + l->ttl_s * BH__SECOND_US;
	g_hash_table_insert(p->leases, &l->id, l);
	add_number_(root, "ID", l->id);
	add_number_(root, "TTL", l->ttl_s);
	return root;
}

static struct json_object *lease_keep_(Platform *p, struct json_object *call)
{
	struct json_object *root = json_object_new_object();
	struct json_object *result = json_object_new_object();
	uint64_t id = number_(call, "ID");
	Lease *l = g_hash_table_lookup(p->leases, &id);

	if (l) {
		l->expires_us = clock_now_us() + l->ttl_s * BH__SECOND_US;
		add_number_(result, "ID", l->id);
		add_number_(result, "TTL", l->ttl_s);
	}
	json_object_object_add(root, "result", result);
	return root;
}

static gboolean has_lease_(gpointer key, gpointer value, gpointer id)
{
	(void)key;
	return ((const Entry *)value)->lease_id == *(const uint64_t *)id;
}

static void on_lease_tick_(evutil_socket_t fd, short what, void *arg)
{
	Platform *p = arg;
	GHashTableIter it;
	gpointer value;

	(void)fd;
	(void)what;
	g_hash_table_iter_init(&it, p->leases);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		const Lease *l = value;
		if (clock_now_us() < l->expires_us)
			continue;
		p->revision += g_hash_table_foreach_remove(p->entries, has_lease_, (gpointer)&l->id) > 0;
		g_hash_table_iter_remove(&it);
	}
}

static void on_delay_(evutil_socket_t fd, short what, void *arg)
{
	Delayed *d = arg;

	(void)fd;
	(void)what;
	web_reply_json(d->req, d->status, d->body);
	g_free(d);
}

/* Sends an answer, or lets it be lost, late or missing as the switches say. */
static void reply_(Platform *p, struct evhttp_request *req, struct json_object *body)
{
	Delayed *d = g_new0(Delayed, 1);
	struct timeval delay = {(time_t)(p->slow_ms / 1000), (suseconds_t)(p->slow_ms % 1000) * 1000};

	d->req = req;
	d->status = p->lose_answers ? 504 : 200;
	d->body = d->status == 200 ? body : json_object_new_object();
	if (p->lose_answers) {
		p->lose_answers--;
		json_object_put(body);
	}
	event_base_once(p->base, -1, EV_TIMEOUT, on_delay_, d, &delay);
}

static void on_store_(Platform *p, struct evhttp_request *req, const char *path, struct json_object *call)
{
	struct json_object *answer = NULL;
	bool is_read = !strcmp(path, "/v3/kv/range");

	count_(p, !is_read);
	if (p->hang)
		return; /* the connection stays open until its client gives up */
	if (p->outage) {
		web_reply_error(req, 503, NULL, "unavailable", "the store is down");
		return;
	}
	if (is_read)
		answer = range_(p, call);
	else if (!strcmp(path, "/v3/kv/txn"))
		answer = txn_(p, call);
	else if (!strcmp(path, "/v3/lease/grant"))
		answer = lease_grant_(p, call);
	else if (!strcmp(path, "/v3/lease/keepalive"))
		answer = lease_keep_(p, call);
	else if (!strcmp(path, "/v3/kv/put")) {
		put_(p, call);
		answer = json_object_new_object();
	}
	if (answer)
		reply_(p, req, answer);
	else
		web_reply_error(req, 404, NULL, "not-found", "there is no such call");
}

static void on_vms_(Platform *p, struct evhttp_request *req, const char *data, size_t len)
{
	bool is_set = evhttp_request_get_command(req) == EVHTTP_REQ_POST;
	bool lagging = clock_now_us() < p->vms_set_us + p->vm_lag_ms * BH__MS_US;
	const char *now = lagging && p->vms_before ? p->vms_before : p->vms;

	if (is_set) {
		g_free(p->vms_before);
		p->vms_before = p->vms;
		p->vms = g_strndup(data, len);
		p->vms_set_us = clock_now_us();
		web_reply_json(req, 200, json_object_new_object());
		return;
	}
	web_reply_json(req, 200, bh__json_parse(now, strlen(now), NULL));
}

static void on_weights_(Platform *p, struct evhttp_request *req)
{
	char *bytes = web_get_query(req, "bytes");

	if (bh__bucket_take(&p->weights, (double)g_ascii_strtoull(bytes ? bytes : "0", NULL, 10), clock_now_us()))
		web_reply_json(req, 200, json_object_new_object());
	else
		web_reply_error(req, 429, NULL, "rate-limited", "the weight store's rate is used up");
	g_free(bytes);
}

static void on_fault_(Platform *p, struct evhttp_request *req, struct json_object *fault)
{
	json_object_object_foreach(fault, name, value)
	{
		if (!strcmp(name, "outage"))
			p->outage = json_object_get_boolean(value);
		else if (!strcmp(name, "hang"))
			p->hang = json_object_get_boolean(value);
		else if (!strcmp(name, "slow_ms"))
			p->slow_ms = (uint64_t)json_object_get_int64(value);
		else if (!strcmp(name, "lose_answers"))
			p->lose_answers = (uint64_t)json_object_get_int64(value);
		else if (!strcmp(name, "vm_lag_ms"))
			p->vm_lag_ms = (uint64_t)json_object_get_int64(value);
		log_event("fault", "switch=%s value=%s", name, json_object_get_string(value));
	}
	web_reply_json(req, 200, json_object_new_object());
}

static void on_stats_(const Platform *p, struct evhttp_request *req)
{
	struct json_object *o = json_object_new_object();

	json_object_object_add(o, "reads", json_object_new_int64((int64_t)p->stats.reads));
	json_object_object_add(o, "writes", json_object_new_int64((int64_t)p->stats.writes));
	json_object_object_add(o, "peak_reads_per_s", json_object_new_int64((int64_t)p->stats.peak_reads_per_s));
	json_object_object_add(o, "peak_writes_per_s",
						   json_object_new_int64((int64_t)p->stats.peak_writes_per_s));
	web_reply_json(req, 200, o);
}

static void on_request_(struct evhttp_request *req, void *arg)
{
	Platform *p = arg;
	const char *path = web_get_path(req);
	const char *data;
	size_t len;
	struct json_object *call;

	web_get_body(req, &data, &len);
	if (!strcmp(path, "/vms")) {
		on_vms_(p, req, data, len);
		return;
	}
	if (!strcmp(path, "/stats")) {
		on_stats_(p, req);
		return;
	}
	if (!strcmp(path, "/weights")) {
		on_weights_(p, req);
		return;
	}
	call = bh__json_parse(data, len, NULL);
	if (!json_object_is_type(call, json_type_object))
		web_reply_error(req, 400, NULL, "invalid", "the body must be a JSON object");
	else if (!strcmp(path, "/fault"))
		on_fault_(p, req, call);
	else
		on_store_(p, req, path, call);
	json_object_put(call);
}

int main(int argc, char **argv)
{
	static const struct option Options[] = {{"listen", required_argument, NULL, 'l'},
											{"help", no_argument, NULL, 'h'},
											{"version", no_argument, NULL, 'V'},
											{NULL, 0, NULL, 0}};
	const char *address = "127.0.0.1:2379";
	Platform p = {0};
	struct timeval tick = {0, LEASE_TICK_MS * 1000};
	struct evhttp *http;
	int option;

	while ((option = getopt_long(argc, argv, "l:hV", Options, NULL)) != -1) {
		if (option == 'l') {
			address = optarg;
		}
		else if (option == 'V') {
			puts("bh-fake-platform " BAYHOIST_VERSION);
			return EX_OK;
		}
		else {
			fputs("Usage: bh-fake-platform [--listen IP:PORT]\n", option == 'h' ? stdout : stderr);
			return option == 'h' ? EX_OK : EX_USAGE;
		}
	}
	log_init("fake-platform", "none", clock_new_boot_id());
	p.vms = g_strdup("{\"vms\":[]}");
	p.base = event_base_new();
	p.entries = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, free_entry_);
	p.leases = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
	bh__bucket_init(&p.weights, WEIGHT_BYTES_PER_S, WEIGHT_BYTES_PER_S * 2);
	http = web_listen(p.base, address, on_request_, &p);
	if (!http) {
		log_error("listen-failed", "address=%s", address);
		return EX_UNAVAILABLE;
	}
	evhttp_set_max_body_size(http, 16 * 1024 * 1024);
	event_add(event_new(p.base, -1, EV_PERSIST, on_lease_tick_, &p), &tick);
	web_run_until_signal(p.base);
	return EX_OK;
}
