/* SPDX-License-Identifier: BSD-3-Clause */
/* The platform's key-value service over the JSON gateway of etcd's version 3 API. Only single-key
 * compare-and-swap is used. Keys and values are base64, 64-bit numbers are strings. */
#include "daemon.h"

#include <event2/buffer.h>
#include <string.h>
#include "clock.h"
#include "head_check.h"
#include "log.h"
#include "web.h"

#define CALL_TIMEOUT_S 2
#define REPLY_MAX_BYTES (16 * 1024 * 1024) /* of the store's answer */

struct EtcdStore {
	BH__StorePort port; /* first: the library hands it back */
	Daemon *daemon;
	GHashTable *calls; /* set of Call */
};

typedef struct {
	EtcdStore *store;
	uint64_t call_id;
	BH__StoreOp op;
	struct evhttp_connection *conn;
	HeadCheck *check;
	struct event *end; /* frees the call outside evhttp's callbacks */
} Call;

static void call_(BH__StorePort *port, const BH__StoreCall *call);
static struct json_object *write_call_(const BH__StoreCall *call, const char **path);
static struct json_object *put_(const BH__StoreCall *call);
static void add_base64_(struct json_object *object, const char *name, const char *data, size_t len);
static void add_number_(struct json_object *object, const char *name, uint64_t n);
static uint64_t get_number_(struct json_object *object, const char *name);
static void on_reply_(struct evhttp_request *req, void *arg);
static char *read_reply_(BH__StoreOp op, struct json_object *root, BH__StoreReply *reply);
static char *read_range_(struct json_object *root, BH__StoreReply *reply);
static void on_end_(evutil_socket_t fd, short what, void *arg);
static void free_call_(gpointer call);

/* Returns a store port for the address in the settings. */
EtcdStore *etcd_store_new(Daemon *d)
{
	EtcdStore *s = g_new0(EtcdStore, 1);
	s->port.call = call_;
	s->daemon = d;
	s->calls = g_hash_table_new_full(g_direct_hash, g_direct_equal, free_call_, NULL);
	return s;
}

void etcd_store_delete(EtcdStore *s)
{
	g_hash_table_unref(s->calls);
	g_free(s);
}

BH__StorePort *etcd_store_get_port(EtcdStore *s)
{
	return &s->port;
}

static void add_base64_(struct json_object *object, const char *name, const char *data, size_t len)
{
	char *text = g_base64_encode((const guchar *)data, len);
	json_object_object_add(object, name, json_object_new_string(text));
	g_free(text);
}

static void add_number_(struct json_object *object, const char *name, uint64_t n)
{
	char text[24];
	g_snprintf(text, sizeof text, "%" G_GUINT64_FORMAT, n);
	json_object_object_add(object, name, json_object_new_string(text));
}

static uint64_t get_number_(struct json_object *object, const char *name)
{
	struct json_object *value = NULL;
	if (!json_object_is_type(object, json_type_object) || !json_object_object_get_ex(object, name, &value))
		return 0;
	return g_ascii_strtoull(json_object_get_string(value), NULL, 10);
}

static struct json_object *put_(const BH__StoreCall *call)
{
	struct json_object *put = json_object_new_object();

	add_base64_(put, "key", call->key, strlen(call->key));
	add_base64_(put, "value", call->value, call->value_len);
	if (call->lease_id)
		add_number_(put, "lease", (uint64_t)call->lease_id);
	return put;
}

/* Returns the JSON of a call and its path. */
static struct json_object *write_call_(const BH__StoreCall *call, const char **path)
{
	struct json_object *root = json_object_new_object();
	struct json_object *compare;
	struct json_object *list;
	struct json_object *op;

	switch (call->op) {
	case BH__STORE_GET:
		*path = "/v3/kv/range";
		add_base64_(root, "key", call->key, strlen(call->key));
		break;
	case BH__STORE_PUT:
		json_object_put(root);
		*path = "/v3/kv/put";
		return put_(call);
	case BH__STORE_CAS:
		*path = "/v3/kv/txn";
		compare = json_object_new_object();
		add_base64_(compare, "key", call->key, strlen(call->key));
		json_object_object_add(compare, "target", json_object_new_string("MOD"));
		json_object_object_add(compare, "result", json_object_new_string("EQUAL"));
		add_number_(compare, "mod_revision", call->expect_revision);
		list = json_object_new_array();
		json_object_array_add(list, compare);
		json_object_object_add(root, "compare", list);
		op = json_object_new_object();
		json_object_object_add(op, "requestPut", put_(call));
		list = json_object_new_array();
		json_object_array_add(list, op);
		json_object_object_add(root, "success", list);
		break;
	case BH__STORE_LEASE_GRANT:
		*path = "/v3/lease/grant";
		add_number_(root, "TTL", call->ttl_s);
		break;
	case BH__STORE_LEASE_RENEW:
		*path = "/v3/lease/keepalive";
		add_number_(root, "ID", (uint64_t)call->lease_id);
		break;
	}
	return root;
}

static void call_(BH__StorePort *port, const BH__StoreCall *call)
{
	EtcdStore *s = (EtcdStore *)port;
	Call *c = g_new0(Call, 1);
	const char *path = NULL;
	struct json_object *body = write_call_(call, &path);
	const char *text =
		json_object_to_json_string_ext(body, JSON_C_TO_STRING_PLAIN | JSON_C_TO_STRING_NOSLASHESCAPE);
	struct evhttp_request *req = evhttp_request_new(on_reply_, c);

	c->store = s;
	c->call_id = call->call_id;
	c->op = call->op;
	c->conn = connect_open(s->daemon, s->daemon->settings.store_address, false);
	c->check = head_check_new(c->conn);
	c->end = event_new(s->daemon->base, -1, 0, on_end_, c);
	evhttp_connection_set_timeout(c->conn, CALL_TIMEOUT_S);
	evhttp_connection_set_max_body_size(c->conn, REPLY_MAX_BYTES);
	evbuffer_add(evhttp_request_get_output_buffer(req), text, strlen(text));
	evhttp_add_header(evhttp_request_get_output_headers(req), "Host", s->daemon->settings.store_address);
	evhttp_add_header(evhttp_request_get_output_headers(req), "Content-Type", "application/json");
	evhttp_add_header(evhttp_request_get_output_headers(req), "Connection", "close");
	g_hash_table_add(s->calls, c);
	evhttp_make_request(c->conn, req, EVHTTP_REQ_POST, path);
	json_object_put(body);
}

/* Whatever is not a well-formed answer means that the call may have taken effect. */
static void on_reply_(struct evhttp_request *req, void *arg)
{
	Call *c = arg;
	BH__StoreReply reply = {.call_id = c->call_id, .status = BH__STORE_UNKNOWN};
	char *value = NULL;

	if (head_check_get_fault(c->check)) {
		log_event("store", "what=bad-answer cause=\"%s\"", head_check_get_fault(c->check));
	}
	else if (req && evhttp_request_get_response_code(req) == 200) {
		const char *data;
		size_t len;
		struct json_object *root;
		web_get_body(req, &data, &len);
		root = bh__json_parse(data, len, NULL);
		if (json_object_is_type(root, json_type_object))
			value = read_reply_(c->op, root, &reply);
		json_object_put(root);
	}
	event_active(c->end, EV_TIMEOUT, 0);
	bh__node_process_store_reply(c->store->daemon->node, &reply, clock_now_us());
	g_free(value);
}

/* Reads an answer into `reply`. Returns the value that it points to, to be freed with g_free(), or NULL. */
static char *read_reply_(BH__StoreOp op, struct json_object *root, BH__StoreReply *reply)
{
	struct json_object *value = NULL;

	switch (op) {
	case BH__STORE_GET:
		return read_range_(root, reply);
	case BH__STORE_PUT:
		reply->status = BH__STORE_OK;
		break;
	case BH__STORE_CAS:
		if (json_object_object_get_ex(root, "succeeded", &value) && json_object_get_boolean(value)) {
			reply->status = BH__STORE_OK;
			reply->mod_revision = get_number_(json_object_object_get(root, "header"), "revision");
		}
		else {
			reply->status = BH__STORE_CONFLICT;
		}
		break;
	case BH__STORE_LEASE_GRANT:
		reply->lease_id = (int64_t)get_number_(root, "ID");
		reply->status = reply->lease_id ? BH__STORE_OK : BH__STORE_UNKNOWN;
		break;
	case BH__STORE_LEASE_RENEW:
		reply->status = get_number_(json_object_object_get(root, "result"), "TTL") > 0 ? BH__STORE_OK
																					   : BH__STORE_NOT_FOUND;
		break;
	}
	return NULL;
}

static char *read_range_(struct json_object *root, BH__StoreReply *reply)
{
	struct json_object *kvs = NULL;
	struct json_object *kv;
	const char *text;
	gsize len = 0;
	char *value;

	if (!json_object_object_get_ex(root, "kvs", &kvs) || !json_object_is_type(kvs, json_type_array) ||
		json_object_array_length(kvs) == 0) {
		reply->status = BH__STORE_NOT_FOUND;
		return NULL;
	}
	kv = json_object_array_get_idx(kvs, 0);
	text = json_object_get_string(json_object_object_get(kv, "value"));
	value = (char *)g_base64_decode(text ? text : "", &len);
	reply->status = BH__STORE_OK;
	reply->mod_revision = get_number_(kv, "mod_revision");
	reply->value = value;
	reply->value_len = len;
	return value;
}

static void on_end_(evutil_socket_t fd, short what, void *arg)
{
	Call *c = arg;

	(void)fd;
	(void)what;
	g_hash_table_remove(c->store->calls, c);
}

static void free_call_(gpointer call)
{
	Call *c = call;
	event_free(c->end);
	head_check_delete(c->check);
	evhttp_connection_free(c->conn);
	g_free(c);
}
