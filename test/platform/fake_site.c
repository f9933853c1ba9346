/* SPDX-License-Identifier: BSD-3-Clause */
/* bh-fake-site: a stand-in for the users' platform, for tests of the gateway: its store and a few endpoints,
 * in one process. Paths of requests name faults: "/break/" closes the first answer midway, "/fail/" answers
 * 500 the first time, "/late-fail/" does so after a while,
 * "/full/" refuses the first time, "/flood/" answers megabytes, "/kilobytes=N/" so much, "/bulk/" as many in
 * many events, "/cut/" a stream that is cut if it stays unread, "/hold/" answers after a second, "/long/"
 * with long pauses,
 * "/no-length/" neither with a length nor in chunks, "/die/" crashes the endpoint that runs it first, before
 * its first event, "/die-late/" after some,
 * "/answer=KIND/" gives an answer of fake_answers.c, "/then=KIND/" the second time, "/resumed=KIND/" the
 * second time if that is to resume a stream,
 * "/crash/" crashes the endpoint that runs it, every time, before its first event,
 * "/crash-late/" after some, and so does a part of a prompt, but the last, whose id begins with "dead",
 * before the first event; the endpoint is back after a while under its id. "/dark/" has the endpoint listen
 * no more and say nothing, and a stranger listen at its address later. An endpoint may name a limit of
 * requests a second in its answers, say there that it leaves, and ask for rest where it refuses. Under /test/
 * of the store's address a test sets the configuration, drains endpoints and halls, has an endpoint take
 * requests and answer none until it goes on, stops the store, lets
 * entries lapse, has the store go back to a copy, and asks what ran. */
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/http.h>
#include <event2/http_struct.h>
#include <event2/keyvalq_struct.h>
#include <getopt.h>
#include <glib.h>
#include <json-c/json.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include "clock.h"
#include "fake_answers.h"
#include "fake_signals.h"
#include "web.h"

#define EVENTS 10                     /* of an engine's answer */
#define EVENT_MS 30                   /* between them */
#define BREAK_AFTER 4                 /* events */
#define FLOOD_BYTES (8 * 1024 * 1024) /* more than the kernel keeps for one that does not read */
#define BULK_EVENTS 80                /* of a "/bulk/" answer */
#define BULK_BYTES (128 * 1024)       /* of a line in each: less than what a gateway keeps of an event */
#define HOLD_MS 1000
#define CUT_EVENTS 500 /* of a stream that is cut if it stays unread */
#define CUT_EVENT_BYTES (16 * 1024)
#define CUT_EVENT_MS 10
#define CUT_UNREAD_MS 500
#define CUT_KERNEL_BYTES (32 * 1024) /* that may wait in the kernel */
#define LONG_EVENT_MS 400
#define ORDER_MS 450
#define LATE_FAIL_MS 1500
#define REUSE_MS 2000  /* of the address of an endpoint that is gone */
#define CRASH_AFTER 3  /* events */
#define RESTART_MS 700 /* of an endpoint that crashed */
#define CRASHES_MAX 3  /* of one request, after which no endpoint is to get it */
#define BEAT_MS 400
#define REWRITE_MS                                                                                           \
	600 /* after the store went back, until all that endpoints wrote since the copy is there again */
#define REPLICAS_MAX 32
#define CONTACT_MS 3000 /* within which nodes hear of each other's changes */
/* Within so long an endpoint gets at most so much of what its limit allows, and so many requests more. */
#define LIMIT_SPAN_MS 4000
#define LIMIT_FACTOR 1.5
#define LIMIT_EXTRA 5
#define COLD_SPAN_MS 1000 /* in which the requests are counted that an endpoint gets while it is cold */

typedef struct {
	char *key;
	char *value; /* base64; NULL: it is gone */
	uint64_t revision;
} Change;

typedef struct {
	char *id;
	char *address;
	char *told; /* address that its entry gives: a proxy's, or its own */
	char *service;
	char *hall;
	bool is_engine;
	bool draining;
	bool gone;
	bool overwritten;    /* another writer's entry stands in place of its own */
	char odd[40];        /* kind of fake_answers.c that it gives to all requests; empty: none */
	bool hangs;          /* takes requests and answers none, until it goes on */
	struct evhttp *http; /* NULL: it has crashed */
	unsigned arrivals;
	uint64_t born_ms; /* time of day of its start */
	struct event *restart;
	char limit[24];    /* that it names in its answers; empty: none */
	uint64_t named_us; /* when it began to, after having named none */
	uint64_t cold_until_us;
	GArray *arrived; /* uint64_t: when requests came since it was limited or cold, in microseconds */
	FakeSignals *signals;
} Replica;

typedef struct {
	struct evhttp_request *req;
	char *prefix;
	uint64_t after;
	struct event *timer;
} Watch;

/* An answer under way. */
typedef struct {
	struct evhttp_request *req;
	Replica *replica;
	unsigned next;
	unsigned last;
	bool breaks;
	uint64_t read_us;  /* of a stream that is cut: when all that was written had been taken; 0: any other */
	bool begun;        /* its head has been sent */
	unsigned crash_at; /* event before which its endpoint crashes; 0: it does not */
	struct event *timer;
} Stream;

static struct event_base *Base_;
static GPtrArray *Changes_; /* Change, oldest first */
static GHashTable *Items_;  /* the latest Change by key */
static GList *Watches_;     /* Watch */
static uint64_t Revision_;
static struct json_object *OddItem_;   /* see make_odd_(); NULL: none */
static struct json_object *OddAnswer_; /* see make_odd_(); NULL: none */
static guint PageSize_;                /* items of a list's page; 0: all */
static Replica *GoneBetween_; /* that leaves between the first and the second page of the next list */
static uint64_t Era_;
static GHashTable *Copy_; /* a Change by key, as Items_ held it when the copy was made; NULL: none was */
static uint64_t CopyRevision_;
static GHashTable *HallWrites_; /* latest value by key of what operators wrote of halls; empty: taken back */
static bool Down_;
static unsigned WaitingWatches_; /* calls */
static unsigned StoreCalls_;     /* of all kinds, refused ones too */
static Replica Replicas_[REPLICAS_MAX];
static unsigned ReplicaCount_;
static GHashTable *Runs_; /* counts by request id */
static char *LastHeaders_;
static GList *Streams_;      /* Stream */
static unsigned Cuts_;       /* of streams that stayed unread */
static unsigned Crashes_;    /* of endpoints, by requests */
static uint64_t ThirdCrash_; /* when that was, in microseconds */
static unsigned Reserves_;   /* orders to set memory aside */
static bool SlowOrders_;     /* they are answered after ORDER_MS */
static unsigned SentAgain_;  /* crashing requests that came later than a tenth of CONTACT_MS after it */

static void put_(const char *key, const char *text);
static void keep_(const char *key, const char *base64);
static void put_odd_(const char *key, const char *data, size_t len);
static void put_many_odd_(guint count);
static void make_odd_(struct json_object *answer, struct json_object *list);
static void set_(const char *key, const char *base64);
static void answer_watches_(void);
static struct json_object *item_(const Change *c);
static void on_store_(struct evhttp_request *req, void *arg);
static void on_test_(struct evhttp_request *req, const char *path);
static void on_range_(struct evhttp_request *req);
static void on_txn_(struct evhttp_request *req);
static void on_watch_(struct evhttp_request *req);
static void on_watch_time_(evutil_socket_t fd, short what, void *arg);
static bool answer_watch_(Watch *w, bool even_if_empty);
static void on_replica_(struct evhttp_request *req, void *arg);
static void on_order_(struct evhttp_request *req);
static void on_order_time_(evutil_socket_t fd, short what, void *req);
static void on_stream_time_(evutil_socket_t fd, short what, void *arg);
static void begin_stream_(struct evhttp_request *req, Replica *r, bool breaks, bool is_first_run);
static unsigned crash_at_(struct evhttp_request *req, bool is_first_run);
static void note_crasher_(void);
static void end_stream_(Stream *s);
static void add_flood_(struct evbuffer *out, const char *uri);
static bool cut_unread_(Stream *s, struct evhttp_connection *conn);
static void add_bulk_(struct evbuffer *out);
static void crash_(Replica *r);
static void on_restart_(evutil_socket_t fd, short what, void *replica);
static void start_again_(Replica *r);
static bool start_odd_(const Replica *r, struct evhttp_request *req, const char *uri, unsigned runs);
static void on_fail_time_(evutil_socket_t fd, short what, void *req);
static void keep_socket_(struct evhttp_bound_socket *socket, void *out);
static void on_reuse_time_(evutil_socket_t fd, short what, void *replica);
static void on_stranger_(struct evhttp_request *req, void *arg);
static void set_common_(struct evhttp_request *req, const Replica *r);
static void set_limit_(Replica *r, const char *per_s);
static void note_arrival_(Replica *r);
static unsigned most_in_span_(const Replica *r, uint64_t from_us, uint64_t span_ms);
static void set_cold_(Replica *r, const char *ms);
static uint64_t cold_ms_(const Replica *r);
static void on_beat_(evutil_socket_t fd, short what, void *arg);
static void write_entry_(const Replica *r);
static void remove_entry_(const Replica *r);
static void lapse_(void);
static void copy_(void);
static void go_back_(void);
static void on_rewrite_(evutil_socket_t fd, short what, void *arg);
static void set_hall_(const char *argument);
static void drain_hall_(const char *hall, bool drains);

int main(int argc, char **argv)
{
	static const struct option Options[] = {{"store", required_argument, NULL, 's'},
											{"engine", required_argument, NULL, 'e'},
											{"plain", required_argument, NULL, 'p'},
											{"hall", required_argument, NULL, 'h'},
											{NULL, 0, NULL, 0}};
	const char *store = NULL;
	struct timeval beat = {0, BEAT_MS * 1000};
	struct event *timer;
	int option;

	Base_ = event_base_new();
	Changes_ = g_ptr_array_new();
	Items_ = g_hash_table_new(g_str_hash, g_str_equal);
	Runs_ = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	HallWrites_ = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	while ((option = getopt_long(argc, argv, "", Options, NULL)) != -1) {
		if (option == 's') {
			store = optarg;
		}
		else if ((option == 'e' || option == 'p') && ReplicaCount_ < REPLICAS_MAX) {
			Replica *r = &Replicas_[ReplicaCount_++];
			char **parts = g_strsplit_set(optarg, "=,", 3);
			r->id = parts[0];
			r->address = parts[1];
			r->told = parts[1] && parts[2] ? parts[2] : parts[1];
			r->is_engine = option == 'e';
			r->service = g_strdup(r->is_engine ? "llm" : "web");
			r->hall = g_strdup("h1");
			r->arrived = g_array_new(FALSE, FALSE, sizeof(uint64_t));
			r->signals = fake_signals_new();
		}
		else if (option == 'h') {
			set_hall_(optarg);
		}
		else {
			fputs("Usage: bh-fake-site --store IP:PORT [--engine ID=IP:PORT[,TOLD]]... [--plain "
				  "ID=IP:PORT[,TOLD]]... [--hall ID=HALL]...\n",
				  stderr);
			return 64;
		}
	}
	signal(SIGPIPE, SIG_IGN);
	if (!store || !web_listen(Base_, store, on_store_, NULL))
		return 69;
	for (unsigned i = 0; i < ReplicaCount_; i++) {
		Replica *r = &Replicas_[i];
		r->born_ms = clock_wall_us() / 1000;
		r->restart = evtimer_new(Base_, on_restart_, r);
		r->http = web_listen(Base_, r->address, on_replica_, r);
		if (!r->http)
			return 69;
		evhttp_set_allowed_methods(r->http, EVHTTP_REQ_GET | EVHTTP_REQ_HEAD | EVHTTP_REQ_POST |
												EVHTTP_REQ_PUT | EVHTTP_REQ_DELETE);
		write_entry_(r);
	}
	timer = event_new(Base_, -1, EV_PERSIST, on_beat_, NULL);
	event_add(timer, &beat);
	web_run_until_signal(Base_);
	return 0;
}

/* Sets the hall of an endpoint that was named before, from "ID=HALL". */
static void set_hall_(const char *argument)
{
	const char *hall = strchr(argument, '=');

	for (unsigned i = 0; hall && i < ReplicaCount_; i++) {
		Replica *r = &Replicas_[i];
		if (strlen(r->id) != (size_t)(hall - argument) || strncmp(r->id, argument, strlen(r->id)) != 0)
			continue;
		g_free(r->hall);
		r->hall = g_strdup(hall + 1);
	}
}

/* An operator has a hall drain, or takes that back. */
static void drain_hall_(const char *hall, bool drains)
{
	char *key = g_strdup_printf("op/evacuate/%s", hall);

	g_hash_table_replace(HallWrites_, g_strdup(key), g_strdup(drains ? "{}" : ""));
	put_(key, drains ? "{}" : NULL);
	g_free(key);
}

static void copy_(void)
{
	GHashTableIter it;
	gpointer key;
	gpointer value;

	Copy_ = g_hash_table_new(g_str_hash, g_str_equal);
	CopyRevision_ = Revision_;
	g_hash_table_iter_init(&it, Items_);
	while (g_hash_table_iter_next(&it, &key, &value))
		g_hash_table_insert(Copy_, key, value);
}

/* The store is as it was when it was copied; revisions are given out again from there. Endpoints that had
 * gone since then, or left, tell it so once more. */
static void go_back_(void)
{
	struct timeval tv = {REWRITE_MS / 1000, REWRITE_MS % 1000 * 1000};

	Era_++;
	g_hash_table_unref(Items_);
	Items_ = Copy_;
	Copy_ = NULL;
	Revision_ = CopyRevision_;
	while (Changes_->len && ((Change *)g_ptr_array_index(Changes_, Changes_->len - 1))->revision > Revision_)
		g_ptr_array_set_size(Changes_, (int)Changes_->len - 1);
	while (Watches_) {
		Watch *w = Watches_->data;
		web_reply_error(w->req, 503, NULL, "down", "the store goes back");
		event_free(w->timer);
		g_free(w->prefix);
		g_free(w);
		Watches_ = g_list_delete_link(Watches_, Watches_);
	}
	event_base_once(Base_, -1, EV_TIMEOUT, on_rewrite_, NULL, &tv);
}

static void on_rewrite_(evutil_socket_t fd, short what, void *arg)
{
	GHashTableIter it;
	gpointer key;
	gpointer value;

	(void)fd;
	(void)what;
	(void)arg;
	for (unsigned i = 0; i < ReplicaCount_; i++)
		if (Replicas_[i].gone)
			remove_entry_(&Replicas_[i]);
	g_hash_table_iter_init(&it, HallWrites_);
	while (g_hash_table_iter_next(&it, &key, &value))
		put_(key, *(const char *)value ? value : NULL);
}

/* Every entry's time runs out; those that live write theirs again once the store is up. */
static void lapse_(void)
{
	for (unsigned i = 0; i < ReplicaCount_; i++)
		if (!Replicas_[i].gone)
			remove_entry_(&Replicas_[i]);
}

static void remove_entry_(const Replica *r)
{
	char *key = g_strdup_printf("servers/%s", r->id);

	put_(key, NULL);
	g_free(key);
}

/* Endpoints write their entries again all the time while the store is up. */
static void on_beat_(evutil_socket_t fd, short what, void *arg)
{
	(void)fd;
	(void)what;
	(void)arg;
	for (unsigned i = 0; !Down_ && i < ReplicaCount_; i++)
		if (!Replicas_[i].gone && !Replicas_[i].overwritten && Replicas_[i].http)
			write_entry_(&Replicas_[i]);
}

static void write_entry_(const Replica *r)
{
	char *key = g_strdup_printf("servers/%s", r->id);
	char *text = g_strdup_printf(
		"{\"service\":\"%s\",\"address\":\"%s\",\"zone\":\"%s\",\"version\":\"v1\",\"slots\":16,"
		"\"state\":\"%s\",\"cold-remaining-ms\":%" G_GUINT64_FORMAT ",\"sequence\":%" G_GUINT64_FORMAT
		",\"born\":%" G_GUINT64_FORMAT "}",
		r->service, r->told, r->hall, r->draining ? "draining" : "ready", cold_ms_(r), Revision_, r->born_ms);

	put_(key, text);
	g_free(text);
	g_free(key);
}

/* Returns how much longer an endpoint is cold. */
static uint64_t cold_ms_(const Replica *r)
{
	uint64_t now_us = clock_now_us();

	return (r->cold_until_us - MIN(now_us, r->cold_until_us)) / 1000;
}

/* Another writer writes bytes under a key. An endpoint whose own that is writes it no more until it is told
 * to be back. */
static void put_odd_(const char *key, const char *data, size_t len)
{
	char *value = g_base64_encode((const guchar *)data, len);

	for (unsigned i = 0; i < ReplicaCount_; i++) {
		char *own = g_strdup_printf("servers/%s", Replicas_[i].id);
		Replicas_[i].overwritten |= !strcmp(own, key);
		g_free(own);
	}
	set_(key, value);
	g_free(value);
}

/* Another writer leaves so many entries. */
static void put_many_odd_(guint count)
{
	for (guint i = 0; i < count; i++) {
		char *key = g_strdup_printf("servers/odd-%05u", i);
		char *text = g_strdup_printf("{\"state\":\"odd\\n%u\"}", i);
		char *value = g_base64_encode((const guchar *)text, strlen(text));
		keep_(key, value);
		g_free(value);
		g_free(text);
		g_free(key);
	}
	answer_watches_();
}

/* What a test wants of the store's answers to lists and watches: an item more among the others, and fields
 * instead of the store's own. */
static void make_odd_(struct json_object *answer, struct json_object *list)
{
	if (OddItem_)
		json_object_array_add(list, json_object_get(OddItem_));
	if (!json_object_is_type(OddAnswer_, json_type_object))
		return;
	json_object_object_foreach(OddAnswer_, field, value)
		json_object_object_add(answer, field, json_object_get(value));
}

static void put_(const char *key, const char *text)
{
	char *value = text ? g_base64_encode((const guchar *)text, strlen(text)) : NULL;

	set_(key, value);
	g_free(value);
}

/* Sets a key to a value in base64; NULL removes it. */
static void set_(const char *key, const char *base64)
{
	keep_(key, base64);
	answer_watches_();
}

static void keep_(const char *key, const char *base64)
{
	Change *c = g_new0(Change, 1);

	c->key = g_strdup(key);
	c->value = g_strdup(base64);
	c->revision = ++Revision_;
	g_ptr_array_add(Changes_, c);
	if (base64)
		g_hash_table_replace(Items_, c->key, c);
	else
		g_hash_table_remove(Items_, c->key);
}

static struct json_object *item_(const Change *c)
{
	struct json_object *o = json_object_new_object();

	json_object_object_add(o, "private-key", json_object_new_string(c->key));
	json_object_object_add(o, "revision", json_object_new_int64((int64_t)c->revision));
	if (c->value)
		json_object_object_add(o, "value", json_object_new_string(c->value));
	else
		json_object_object_add(o, "gone", json_object_new_boolean(true));
	return o;
}

static void on_store_(struct evhttp_request *req, void *arg)
{
	const char *path = web_get_path(req);

	char era[24];

	(void)arg;
	g_snprintf(era, sizeof era, "%" G_GUINT64_FORMAT, Era_);
	evhttp_add_header(evhttp_request_get_output_headers(req), "Store-Era", era);
	StoreCalls_ += !g_str_has_prefix(path, "/test/");
	if (g_str_has_prefix(path, "/test/")) {
		on_test_(req, path + 6);
	}
	else if (Down_) {
		web_reply_error(req, 503, NULL, "down", "the store is down");
	}
	else if (!strcmp(path, "/kv-key")) {
		char *key = web_get_query(req, "private-key");
		const Change *c = key ? g_hash_table_lookup(Items_, key) : NULL;
		struct json_object *o = c ? item_(c) : NULL;
		if (o) {
			json_object_object_add(o, "at", json_object_new_int64((int64_t)Revision_));
			web_reply_json(req, 200, o);
		}
		else {
			web_reply_error(req, 404, NULL, "none", "there is no such key");
		}
		g_free(key);
	}
	else if (!strcmp(path, "/kv-range")) {
		on_range_(req);
	}
	else if (!strcmp(path, "/kv-watch")) {
		char *wait = web_get_query(req, "wait-ms");
		WaitingWatches_ += wait && strcmp(wait, "0") != 0;
		g_free(wait);
		on_watch_(req);
	}
	else if (!strcmp(path, "/kv-lease")) { /* one that never ends */
		struct json_object *o = json_object_new_object();
		json_object_object_add(o, "lease", json_object_new_int64(1));
		json_object_object_add(o, "ttl_ms", json_object_new_int64(600000));
		web_reply_json(req, 200, o);
	}
	else if (!strcmp(path, "/kv-txn")) {
		on_txn_(req);
	}
	else {
		web_reply_error(req, 404, NULL, "none", "there is no such call");
	}
}

static gint compare_keys_(gconstpointer a, gconstpointer b)
{
	return strcmp(*(char *const *)a, *(char *const *)b);
}

/* One page of a list. The change that a test wants between two pages is made after the first. */
static void on_range_(struct evhttp_request *req)
{
	char *prefix = web_get_query(req, "path-prefix");
	char *after = web_get_query(req, "after");
	struct json_object *o = json_object_new_object();
	struct json_object *list = json_object_new_array();
	GPtrArray *keys = g_ptr_array_new();
	GHashTableIter it;
	gpointer key;
	bool more = false;

	g_hash_table_iter_init(&it, Items_);
	while (g_hash_table_iter_next(&it, &key, NULL))
		if (g_str_has_prefix(key, prefix ? prefix : "") && (!after || strcmp(key, after) > 0))
			g_ptr_array_add(keys, key);
	g_ptr_array_sort(keys, compare_keys_);
	for (guint i = 0; i < keys->len; i++) {
		more = PageSize_ && i >= PageSize_;
		if (more)
			break;
		json_object_array_add(list, item_(g_hash_table_lookup(Items_, g_ptr_array_index(keys, i))));
	}
	json_object_object_add(o, "items", list);
	json_object_object_add(o, "more", json_object_new_boolean(more));
	json_object_object_add(o, "at", json_object_new_int64((int64_t)Revision_));
	make_odd_(o, list);
	web_reply_json(req, 200, o);
	if (more && GoneBetween_) {
		GoneBetween_->gone = true;
		remove_entry_(GoneBetween_);
		GoneBetween_ = NULL;
	}
	g_ptr_array_unref(keys);
	g_free(prefix);
	g_free(after);
}

static void on_txn_(struct evhttp_request *req)
{
	const char *data;
	size_t len;
	struct json_object *o;
	struct json_object *list;
	struct json_object *reply = json_object_new_object();
	char *text;

	web_get_body(req, &data, &len);
	text = g_strndup(data, len);
	o = json_tokener_parse(text);
	g_free(text);
	list = json_object_object_get(o, "put");
	for (size_t i = 0; list && i < json_object_array_length(list); i++) {
		struct json_object *p = json_object_array_get_idx(list, i);
		set_(json_object_get_string(json_object_object_get(p, "private-key")),
			 json_object_get_string(json_object_object_get(p, "value")));
	}
	list = json_object_object_get(o, "remove");
	for (size_t i = 0; list && i < json_object_array_length(list); i++)
		set_(json_object_get_string(json_object_array_get_idx(list, i)), NULL);
	json_object_put(o);
	json_object_object_add(reply, "revision", json_object_new_int64((int64_t)Revision_));
	web_reply_json(req, 200, reply);
}

static void on_watch_(struct evhttp_request *req)
{
	Watch *w = g_new0(Watch, 1);
	char *after = web_get_query(req, "after");
	char *wait = web_get_query(req, "wait-ms");
	uint64_t wait_ms = wait ? g_ascii_strtoull(wait, NULL, 10) : 0;
	struct timeval tv = {(time_t)(wait_ms / 1000), (suseconds_t)(wait_ms % 1000 * 1000)};

	w->req = req;
	w->prefix = web_get_query(req, "path-prefix");
	w->after = after ? g_ascii_strtoull(after, NULL, 10) : 0;
	if (w->after > Revision_) { /* a revision that the store does not have */
		evhttp_send_reply(req, 410, NULL, NULL);
		g_free(after);
		g_free(wait);
		g_free(w->prefix);
		g_free(w);
		return;
	}
	g_free(after);
	g_free(wait);
	if (answer_watch_(w, wait_ms == 0))
		return;
	w->timer = evtimer_new(Base_, on_watch_time_, w);
	evtimer_add(w->timer, &tv);
	Watches_ = g_list_prepend(Watches_, w);
}

/* Answers a watch if there is news, or in any case. Returns true if the watch is over. */
static bool answer_watch_(Watch *w, bool even_if_empty)
{
	struct json_object *list = json_object_new_array();
	struct json_object *o;

	for (guint i = 0; i < Changes_->len; i++) {
		const Change *c = g_ptr_array_index(Changes_, i);
		if (c->revision > w->after && g_str_has_prefix(c->key, w->prefix))
			json_object_array_add(list, item_(c));
	}
	if (!json_object_array_length(list) && !even_if_empty) {
		json_object_put(list);
		return false;
	}
	o = json_object_new_object();
	json_object_object_add(o, "events", list);
	json_object_object_add(o, "at", json_object_new_int64((int64_t)Revision_));
	make_odd_(o, list);
	web_reply_json(w->req, 200, o);
	if (w->timer)
		event_free(w->timer);
	g_free(w->prefix);
	g_free(w);
	return true;
}

static void on_watch_time_(evutil_socket_t fd, short what, void *arg)
{
	(void)fd;
	(void)what;
	Watches_ = g_list_remove(Watches_, arg);
	answer_watch_(arg, true);
}

static void answer_watches_(void)
{
	GList *all = Watches_;

	Watches_ = NULL;
	for (GList *it = all; it; it = it->next)
		if (!answer_watch_(it->data, false))
			Watches_ = g_list_prepend(Watches_, it->data);
	g_list_free(all);
}

/* What a test wants: config, drain and gone of an endpoint, up, down, runs of a request, arrivals, headers,
 * watches that were to wait. */
static void on_test_(struct evhttp_request *req, const char *what)
{
	char *id = web_get_query(req, "id");
	struct evbuffer *out = evbuffer_new();
	const char *data;
	size_t len;

	if (!strcmp(what, "config")) {
		char *text;
		web_get_body(req, &data, &len);
		text = g_strndup(data, len);
		put_("op/config", text);
		g_free(text);
	}
	else if (!strcmp(what, "entry")) {
		char *key = web_get_query(req, "key");
		web_get_body(req, &data, &len);
		put_odd_(key ? key : "", data, len);
		g_free(key);
	}
	else if (!strcmp(what, "odd-entries")) {
		put_many_odd_(id ? (guint)strtoul(id, NULL, 10) : 0);
	}
	else if (!strcmp(what, "odd-item") || !strcmp(what, "odd-answer")) {
		struct json_object **odd = what[4] == 'i' ? &OddItem_ : &OddAnswer_;
		char *text;
		web_get_body(req, &data, &len);
		text = g_strndup(data, len);
		json_object_put(*odd);
		*odd = json_tokener_parse(text);
		g_free(text);
	}
	else if (!strcmp(what, "down") || !strcmp(what, "up")) {
		Down_ = !strcmp(what, "down");
	}
	else if (!strcmp(what, "lapse")) {
		lapse_();
	}
	else if (!strcmp(what, "drain-hall") || !strcmp(what, "use-hall")) {
		drain_hall_(id ? id : "", !strcmp(what, "drain-hall"));
	}
	else if (!strcmp(what, "page")) {
		PageSize_ = id ? (guint)strtoul(id, NULL, 10) : 0;
	}
	else if (!strcmp(what, "copy")) {
		copy_();
	}
	else if (!strcmp(what, "go-back")) {
		go_back_();
	}
	else if (!strcmp(what, "runs")) {
		evbuffer_add_printf(out, "%u\n", GPOINTER_TO_UINT(g_hash_table_lookup(Runs_, id ? id : "")));
	}
	else if (!strcmp(what, "watches")) {
		evbuffer_add_printf(out, "%u\n", WaitingWatches_);
	}
	else if (!strcmp(what, "calls")) {
		evbuffer_add_printf(out, "%u\n", StoreCalls_);
	}
	else if (!strcmp(what, "cuts")) {
		evbuffer_add_printf(out, "%u\n", Cuts_);
	}
	else if (!strcmp(what, "crashes")) {
		evbuffer_add_printf(out, "%u\n", Crashes_);
	}
	else if (!strcmp(what, "slow-orders") || !strcmp(what, "quick-orders")) {
		SlowOrders_ = !strcmp(what, "slow-orders");
	}
	else if (!strcmp(what, "reserves")) {
		evbuffer_add_printf(out, "%u\n", Reserves_);
	}
	else if (!strcmp(what, "odd-open")) {
		evbuffer_add_printf(out, "%u\n", fake_answers_get_open());
	}
	else if (!strcmp(what, "sent-again")) {
		evbuffer_add_printf(out, "%u\n", SentAgain_);
	}
	else if (!strcmp(what, "headers")) {
		evbuffer_add_printf(out, "%s", LastHeaders_ ? LastHeaders_ : "");
	}
	for (unsigned i = 0; id && i < ReplicaCount_; i++) {
		Replica *r = &Replicas_[i];
		if (strcmp(r->id, id) != 0)
			continue;
		if (!strcmp(what, "arrivals"))
			evbuffer_add_printf(out, "%u\n", r->arrivals);
		if (!strcmp(what, "most")) {
			evbuffer_add_printf(
				out, "%u of %u\n", most_in_span_(r, r->named_us + CONTACT_MS * 1000, LIMIT_SPAN_MS),
				(unsigned)(LIMIT_FACTOR * g_ascii_strtod(r->limit, NULL) * LIMIT_SPAN_MS / 1000 +
						   LIMIT_EXTRA));
		}
		if (!strcmp(what, "limit")) {
			char *per_s = web_get_query(req, "per-s");
			set_limit_(r, per_s ? per_s : "");
			g_free(per_s);
		}
		if (!strcmp(what, "cold")) {
			char *ms = web_get_query(req, "ms");
			set_cold_(r, ms ? ms : "0");
			g_free(ms);
		}
		if (!strcmp(what, "most-cold"))
			evbuffer_add_printf(out, "%u\n", most_in_span_(r, 0, COLD_SPAN_MS));
		if (!strcmp(what, "leaving") || !strcmp(what, "rest")) {
			char *value = web_get_query(req, "value");
			(what[0] == 'l' ? fake_signals_set_leaving : fake_signals_set_rest)(r->signals,
																				value ? value : "");
			g_free(value);
		}
		if (!strcmp(what, "after-leaving"))
			evbuffer_add_printf(out, "%u\n", fake_signals_count_after_leaving(r->signals));
		if (!strcmp(what, "in-rest"))
			evbuffer_add_printf(out, "%u\n", fake_signals_get_most_in_rest(r->signals));
		if (!strcmp(what, "rest-left")) {
			char *gateway = web_get_query(req, "gateway");
			evbuffer_add_printf(out, "%u\n",
								fake_signals_get_rest_left_ms(r->signals, gateway ? gateway : ""));
			g_free(gateway);
		}
		if (!strcmp(what, "odd")) {
			char *kind = web_get_query(req, "kind");
			g_strlcpy(r->odd, kind ? kind : "", sizeof r->odd);
			g_free(kind);
		}
		if (!strcmp(what, "start-again"))
			start_again_(r);
		if (!strcmp(what, "hang") || !strcmp(what, "go-on"))
			r->hangs = what[0] == 'h';
		r->draining |= !strcmp(what, "drain");
		if (!strcmp(what, "back")) {
			r->gone = false;
			r->overwritten = false;
			write_entry_(r);
		}
		if (!strcmp(what, "gone-between-pages"))
			GoneBetween_ = r;
		if (!strcmp(what, "gone")) {
			r->gone = true;
			remove_entry_(r);
		}
	}
	evhttp_send_reply(req, 200, NULL, out);
	evbuffer_free(out);
	g_free(id);
}

static void set_common_(struct evhttp_request *req, const Replica *r)
{
	struct evkeyvalq *headers = evhttp_request_get_output_headers(req);
	const char *id = web_get_header(req, "X-Attempt-Id");

	evhttp_add_header(headers, "X-Attempt-Id", id ? id : "");
	evhttp_add_header(headers, "X-Replica-Id", r->id);
	evhttp_add_header(headers, "X-Replica-Load", "1,0,16");
	evhttp_add_header(headers, "X-Replica-Signature", "stand-in");
	if (r->limit[0])
		evhttp_add_header(headers, "Server-Limit", r->limit);
	fake_signals_answer(r->signals, req, false);
}

/* An endpoint names a limit from now on; an empty one: none. */
static void set_limit_(Replica *r, const char *per_s)
{
	if (!r->limit[0]) {
		r->named_us = clock_now_us();
		g_array_set_size(r->arrived, 0);
	}
	g_strlcpy(r->limit, per_s, sizeof r->limit);
}

/* An endpoint is cold for so long from now on, and its entry says so. */
static void set_cold_(Replica *r, const char *ms)
{
	r->cold_until_us = clock_now_us() + strtoul(ms, NULL, 10) * 1000;
	g_array_set_size(r->arrived, 0);
	write_entry_(r);
}

static void note_arrival_(Replica *r)
{
	uint64_t now_us = clock_now_us();

	r->arrivals++;
	if (r->limit[0] || now_us < r->cold_until_us)
		g_array_append_val(r->arrived, now_us);
}

/* Returns the most requests that came within a span, of those that came from a time on. */
static unsigned most_in_span_(const Replica *r, uint64_t from_us, uint64_t span_ms)
{
	unsigned most = 0;

	for (guint from = 0, to = 0; to < r->arrived->len; to++) {
		uint64_t at_us = g_array_index(r->arrived, uint64_t, to);
		if (at_us < from_us)
			from = to + 1;
		while (from <= to && at_us - g_array_index(r->arrived, uint64_t, from) >= span_ms * 1000)
			from++;
		most = MAX(most, to + 1 - from);
	}
	return most;
}

static void on_replica_(struct evhttp_request *req, void *arg)
{
	Replica *r = arg;
	const char *id = web_get_header(req, "X-Attempt-Id");
	const char *expected = web_get_header(req, "X-Expect-Replica");
	const char *uri = evhttp_request_get_uri(req);
	unsigned runs = id ? GPOINTER_TO_UINT(g_hash_table_lookup(Runs_, id)) : 0;
	GString *seen = g_string_new(NULL);
	struct evkeyval *h;

	if (!strcmp(web_get_path(req), "/order") || !strcmp(web_get_path(req), "/report")) {
		g_string_free(seen, TRUE);
		fake_signals_answer(r->signals, req, false);
		on_order_(req);
		return;
	}
	for (h = evhttp_request_get_input_headers(req)->tqh_first; h; h = h->next.tqe_next)
		g_string_append_printf(seen, "%s: %s\n", h->key, h->value);
	g_free(LastHeaders_);
	LastHeaders_ = g_string_free(seen, FALSE);
	note_arrival_(r);
	fake_signals_note_arrival(r->signals, req);
	if (!id || !expected || strcmp(expected, r->id) != 0) {
		evhttp_add_header(evhttp_request_get_output_headers(req), "X-Not-Executed", "1");
		evhttp_send_reply(req, id ? 421 : 400, NULL, NULL);
		return;
	}
	if (fake_signals_wants_rest(r->signals)) {
		evhttp_add_header(evhttp_request_get_output_headers(req), "X-Not-Executed", "1");
		fake_signals_answer(r->signals, req, true);
		evhttp_send_reply(req, 503, NULL, NULL);
		return;
	}
	if (strstr(uri, "/full/") && !runs && !r->hangs) {
		g_hash_table_replace(Runs_, g_strdup(id), GUINT_TO_POINTER(1u << 16)); /* refused, not run */
		evhttp_add_header(evhttp_request_get_output_headers(req), "X-Not-Executed", "1");
		evhttp_send_reply(req, 503, NULL, NULL);
		return;
	}
	g_hash_table_replace(Runs_, g_strdup(id), GUINT_TO_POINTER(runs + 1));
	set_common_(req, r);
	if (strstr(uri, "/dark/")) {
		struct evhttp_bound_socket *socket = NULL;
		struct timeval reuse = {REUSE_MS / 1000, REUSE_MS % 1000 * 1000};
		evhttp_foreach_bound_socket(r->http, keep_socket_, &socket);
		evhttp_del_accept_socket(r->http, socket);
		event_base_once(Base_, -1, EV_TIMEOUT, on_reuse_time_, r, &reuse);
		r->gone = true; /* writes its entry no more */
		return;
	}
	if (strstr(uri, "/late-fail/") && !runs) {
		struct timeval late = {LATE_FAIL_MS / 1000, LATE_FAIL_MS % 1000 * 1000};
		event_base_once(Base_, -1, EV_TIMEOUT, on_fail_time_, req, &late);
		return;
	}
	if (!r->hangs && start_odd_(r, req, uri, runs & 0xffff))
		return;
	if (strstr(uri, "/fail/") && !runs && !r->hangs)
		evhttp_send_reply(req, 500, NULL, NULL);
	else
		begin_stream_(req, r, strstr(uri, "/break/") && !runs, !runs);
}

/* Gives the answer that a path names for a request that has run so often, or that the endpoint gives to all.
 * Returns false if there is none. */
static bool start_odd_(const Replica *r, struct evhttp_request *req, const char *uri, unsigned runs)
{
	static const char *const Words[] = {"/answer=", "/then="}; /* by number of runs */
	const char *after = web_get_header(req, "Last-Event-Id");
	const char *word = runs < G_N_ELEMENTS(Words) ? Words[runs] : NULL;
	const char *from = word ? strstr(uri, word) : NULL;
	char *kind;
	bool started;

	if (r->odd[0])
		return fake_answers_start(Base_, req, r->odd, 0);
	if (!from && runs == 1 && after) {
		word = "/resumed=";
		from = strstr(uri, word);
	}
	if (!from)
		return false;
	from += strlen(word);
	kind = g_strndup(from, strcspn(from, "/"));
	started = fake_answers_start(Base_, req, kind, after ? (unsigned)strtoul(after, NULL, 10) : 0);
	if (!started)
		fprintf(stderr, "no answer of the kind %s\n", kind);
	g_free(kind);
	return started;
}

static void on_fail_time_(evutil_socket_t fd, short what, void *req)
{
	(void)fd;
	(void)what;
	evhttp_send_reply(req, 500, NULL, NULL);
}

static void keep_socket_(struct evhttp_bound_socket *socket, void *out)
{
	*(struct evhttp_bound_socket **)out = socket;
}

/* An endpoint of another service has the address now. */
static void on_reuse_time_(evutil_socket_t fd, short what, void *replica)
{
	(void)fd;
	(void)what;
	if (!web_listen(Base_, ((const Replica *)replica)->address, on_stranger_, NULL))
		abort();
}

static void on_stranger_(struct evhttp_request *req, void *arg)
{
	(void)arg;
	evhttp_add_header(evhttp_request_get_output_headers(req), "X-Not-Executed", "1");
	evhttp_send_reply(req, 421, NULL, NULL);
}

/* Returns the event before which a request crashes its endpoint; 0: it does not. */
static unsigned crash_at_(struct evhttp_request *req, bool is_first_run)
{
	const char *uri = evhttp_request_get_uri(req);
	const char *parts = web_get_header(req, "X-Prompt-Prefix");
	const char *deadly = parts ? strstr(parts, "dead") : NULL;

	if (strstr(uri, "/crash/") || (deadly && strchr(deadly, ',')) || (is_first_run && strstr(uri, "/die/")))
		return 1;
	if (is_first_run && strstr(uri, "/die-late/"))
		return CRASH_AFTER + 1;
	return strstr(uri, "/crash-late/") ? CRASH_AFTER + 1 : 0;
}

/* A request that crashes endpoints has come to one. */
static void note_crasher_(void)
{
	SentAgain_ += ThirdCrash_ && clock_now_us() > ThirdCrash_ + CONTACT_MS / 10 * 1000;
}

/* An endpoint crashes: all its connections break at once, new ones are refused, and it starts again later. */
static void crash_(Replica *r)
{
	struct timeval tv = {0, RESTART_MS * 1000};

	if (++Crashes_ == CRASHES_MAX)
		ThirdCrash_ = clock_now_us();
	for (GList *it = Streams_; it;) {
		Stream *s = it->data;
		it = it->next;
		if (s->replica == r)
			end_stream_(s);
	}
	evhttp_free(r->http);
	r->http = NULL;
	evtimer_add(r->restart, &tv);
}

static void on_restart_(evutil_socket_t fd, short what, void *replica)
{
	Replica *r = replica;

	(void)fd;
	(void)what;
	r->http = web_listen(Base_, r->address, on_replica_, r);
	if (!r->http)
		abort();
	start_again_(r);
}

/* An endpoint is there under its id, and knows nothing of before. */
static void start_again_(Replica *r)
{
	r->born_ms = clock_wall_us() / 1000;
	fake_signals_restart(r->signals);
	write_entry_(r);
}

/* Engines answer a stream of events, plain services one text. */
static void begin_stream_(struct evhttp_request *req, Replica *r, bool breaks, bool is_first_run)
{
	Stream *s = g_new0(Stream, 1);
	const char *after = web_get_header(req, "Last-Event-Id");
	bool streams = web_get_header(req, "X-Token-Usage") != NULL;
	struct timeval tv = {0, EVENT_MS * 1000};

	if (strstr(evhttp_request_get_uri(req), "/hold/"))
		tv = (struct timeval){HOLD_MS / 1000, HOLD_MS % 1000 * 1000};
	s->req = req;
	s->replica = r;
	s->crash_at = crash_at_(req, is_first_run);
	if (s->crash_at)
		note_crasher_();
	Streams_ = g_list_prepend(Streams_, s);
	s->next = after ? (unsigned)strtoul(after, NULL, 10) + 1 : 1;
	s->last = streams ? EVENTS : 1;
	if (strstr(evhttp_request_get_uri(req), "/bulk/"))
		s->last = BULK_EVENTS;
	s->breaks = breaks;
	if (strstr(evhttp_request_get_uri(req), "/cut/")) {
		int bytes = CUT_KERNEL_BYTES;
		setsockopt(bufferevent_getfd(evhttp_connection_get_bufferevent(evhttp_request_get_connection(req))),
				   SOL_SOCKET, SO_SNDBUF, &bytes, sizeof bytes);
		s->last = CUT_EVENTS;
		s->read_us = clock_now_us();
	}
	evhttp_add_header(evhttp_request_get_output_headers(req), "Content-Type",
					  streams ? "text/event-stream" : "text/plain");
	if (strstr(evhttp_request_get_uri(req), "/no-length/"))
		req->minor = 0; /* the answer is neither chunked then, nor does its connection go on */
	s->timer = evtimer_new(Base_, on_stream_time_, s);
	evtimer_add(s->timer, &tv);
	s->begun = !r->hangs;
	if (s->begun)
		evhttp_send_reply_start(req, 200, NULL);
}

/* Adds megabytes, or where a path names them ("/kilobytes=N/") so many thousand bytes. */
static void add_flood_(struct evbuffer *out, const char *uri)
{
	static char bytes[FLOOD_BYTES];
	const char *named = strstr(uri, "/kilobytes=");
	size_t len = named ? strtoul(named + strlen("/kilobytes="), NULL, 10) * 1000 : sizeof bytes;

	evbuffer_add_reference(out, bytes, MIN(len, sizeof bytes), NULL, NULL);
}

/* Resets the connection of a stream that has stayed unread for too long, and returns true then. */
static bool cut_unread_(Stream *s, struct evhttp_connection *conn)
{
	struct bufferevent *bev = evhttp_connection_get_bufferevent(conn);
	struct linger reset = {.l_onoff = 1, .l_linger = 0};
	uint64_t now_us = clock_now_us();

	if (!evbuffer_get_length(bufferevent_get_output(bev)))
		s->read_us = now_us;
	if (now_us < s->read_us + CUT_UNREAD_MS * 1000)
		return false;
	Cuts_++;
	setsockopt(bufferevent_getfd(bev), SOL_SOCKET, SO_LINGER, &reset, sizeof reset);
	end_stream_(s);
	evhttp_connection_free(conn);
	return true;
}

/* Adds a long line, of which soak-gate.sh knows what it holds. */
static void add_bulk_(struct evbuffer *out)
{
	static char line[BULK_BYTES] = "data: ";

	if (!line[sizeof line - 1]) {
		memset(line + strlen(line), 'x', sizeof line - strlen(line));
		line[sizeof line - 1] = '\n';
	}
	evbuffer_add_reference(out, line, sizeof line, NULL, NULL);
}

static void on_stream_time_(evutil_socket_t fd, short what, void *arg)
{
	Stream *s = arg;
	struct evbuffer *out = evbuffer_new();
	struct timeval tv = {0, EVENT_MS * 1000};
	struct evhttp_connection *conn = evhttp_request_get_connection(s->req);

	(void)fd;
	(void)what;
	if (!conn) { /* the caller has gone; this frees the request */
		evhttp_send_reply_end(s->req);
		end_stream_(s);
		evbuffer_free(out);
		return;
	}
	if (s->read_us && cut_unread_(s, conn)) {
		evbuffer_free(out);
		return;
	}
	if (s->replica->hangs) {
		evtimer_add(s->timer, &tv);
		evbuffer_free(out);
		return;
	}
	if (!s->begun)
		evhttp_send_reply_start(s->req, 200, NULL);
	s->begun = true;
	if (s->breaks && (s->next > BREAK_AFTER || s->last == 1)) {
		end_stream_(s);
		evbuffer_free(out);
		evhttp_connection_free(conn);
		return;
	}
	if (s->crash_at && s->next >= s->crash_at) {
		evbuffer_free(out);
		crash_(s->replica);
		return;
	}
	if (strstr(evhttp_request_get_uri(s->req), "/long/"))
		tv.tv_usec = LONG_EVENT_MS * 1000;
	if (s->read_us)
		tv.tv_usec = CUT_EVENT_MS * 1000;
	evbuffer_add_printf(out, "id: %u\ndata: piece %*u\n", s->next, s->read_us ? CUT_EVENT_BYTES : 0, s->next);
	if (strstr(evhttp_request_get_uri(s->req), "/bulk/"))
		add_bulk_(out);
	evbuffer_add(out, "\n", 1);
	if (strstr(evhttp_request_get_uri(s->req), "/flood/") ||
		strstr(evhttp_request_get_uri(s->req), "/kilobytes="))
		add_flood_(out, evhttp_request_get_uri(s->req));
	evhttp_send_reply_chunk(s->req, out);
	evbuffer_free(out);
	if (s->next++ >= s->last) {
		evhttp_send_reply_end(s->req);
		end_stream_(s);
		return;
	}
	evtimer_add(s->timer, &tv);
}

/* Forgets an answer; its request is evhttp's. */
static void end_stream_(Stream *s)
{
	Streams_ = g_list_remove(Streams_, s);
	event_free(s->timer);
	g_free(s);
}

static void on_order_(struct evhttp_request *req)
{
	struct timeval tv = {0, ORDER_MS * 1000};
	const char *data;
	size_t len;

	web_get_body(req, &data, &len);
	Reserves_ += len && g_strstr_len(data, (gssize)len, "reserve") != NULL;
	if (SlowOrders_)
		event_base_once(Base_, -1, EV_TIMEOUT, on_order_time_, req, &tv);
	else
		on_order_time_(-1, EV_TIMEOUT, req);
}

static void on_order_time_(evutil_socket_t fd, short what, void *req)
{
	struct json_object *o = json_object_new_object();

	(void)fd;
	(void)what;
	json_object_object_add(o, "free", json_object_new_int(1));
	json_object_object_add(o, "running", json_object_new_int(0));
	json_object_object_add(o, "pace", json_object_new_double(1));
	web_reply_json(req, 200, o);
}
