/* SPDX-License-Identifier: BSD-3-Clause */
/* The daemon binds a BH__Node to libevent: callers (caller.c), endpoints (upstream.c, poll.c), peers
 * (peers.c, shared), the platform (store.c, vmlist.c) and operators (admin.c). One loop on one thread. */
#ifndef BAYHOISTD_DAEMON_H
#define BAYHOISTD_DAEMON_H

#include <event2/event.h>
#include <event2/http.h>
#include <glib.h>
#include <openssl/ssl.h>
#include "bayhoist/node.h"
#include "peers.h"
#include "settings.h"

typedef struct Daemon Daemon;
typedef struct Caller Caller;
typedef struct EtcdStore EtcdStore;

#define EVENTS_KEPT 20000

struct Daemon {
	BH__NodePorts ports; /* first: the node hands it back */
	Settings settings;
	struct event_base *base;
	BH__Node *node;
	Peers *peers;
	EtcdStore *store;
	struct evhttp *http;
	struct evhttp_bound_socket *listener;
	SSL_CTX *server_tls; /* NULL: plain HTTP */
	SSL_CTX *client_tls;
	GHashTable *callers;   /* Caller by request id */
	GHashTable *upstreams; /* Upstream by attempt id */
	GHashTable *polls;     /* Poll by endpoint id */
	GHashTable *looks;     /* set of Look: endpoints of which it is seen whether they listen */
	GPtrArray *own_events; /* struct event *: tick and signals */
	GQueue *events;        /* the latest, as text for the time line */
	uint64_t events_first; /* number of the first that is kept */
	uint64_t boot_id;
	uint64_t leave_at_us; /* 0: not leaving */
	bool stop_now;
	uint64_t open_files; /* as last counted, and connections accepted since */
};

/* caller.c */
void caller_on_request(struct evhttp_request *req, Daemon *d, const char *path);
void caller_on_piece(BH__NodePorts *ports, uint64_t request_id, const char *data, size_t len);
void caller_on_end(BH__NodePorts *ports, uint64_t request_id, const BH__Outcome *outcome);
Caller *caller_find(Daemon *d, uint64_t request_id);
void caller_set_head(Caller *c, int status, const char *content_type);
void caller_set_upstream(Caller *c, struct evhttp_connection *upstream);
void callers_free(Daemon *d);
bool caller_authenticate(Daemon *d, struct evhttp_request *req, uint64_t *account_id, const char **name,
						 bool *is_operator);

/* The parts of a caller's request that go to an endpoint. */
typedef struct {
	struct evbuffer *body;
	const char *data;
	size_t len;
	size_t open_len; /* without the closing brace of a JSON object */
	unsigned refs;
} Body;

Body *body_new(struct evhttp_request *req);
Body *body_ref(Body *b);
void body_unref(Body *b);
Body *caller_get_body(Caller *c);
const char *caller_get_path(const Caller *c);
enum evhttp_cmd_type caller_get_method(const Caller *c);
const char *caller_get_content_type(const Caller *c);
char *caller_get_text(const Caller *c);

/* upstream.c */
void upstream_start(BH__NodePorts *ports, const BH__AttemptCall *call);
void upstream_cancel(BH__NodePorts *ports, uint64_t attempt_id, uint64_t endpoint_id);
void upstreams_free(Daemon *d);

/* connect.c */
struct evhttp_connection *connect_open(Daemon *d, const char *address, bool tls);

/* forward.c */
void forward_start(Daemon *d, struct evhttp_request *req, Body *body, const char *address);

/* poll.c */
void poll_start(BH__NodePorts *ports, uint64_t endpoint_id, uint64_t cache_sequence, bool with_attempts);
void order_start(BH__NodePorts *ports, const BH__Order *order);
void polls_free(Daemon *d);

/* look.c */
void look_start(BH__NodePorts *ports, uint64_t endpoint_id);
void looks_free(Daemon *d);

/* store.c and vmlist.c */
EtcdStore *etcd_store_new(Daemon *d);
void etcd_store_delete(EtcdStore *s);
BH__StorePort *etcd_store_get_port(EtcdStore *s);
void vmlist_poll(Daemon *d);

/* admin.c */
void admin_on_request(struct evhttp_request *req, Daemon *d, const char *path);
void admin_on_event(BH__NodePorts *ports, const BH__Event *event);

/* tls.c */
bool tls_load(Daemon *d, GError **error);
struct bufferevent *tls_server_bufferevent(struct event_base *base, void *daemon);
struct bufferevent *tls_client_bufferevent(Daemon *d);

#endif
