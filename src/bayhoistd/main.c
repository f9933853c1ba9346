/* SPDX-License-Identifier: BSD-3-Clause */
/* bayhoistd: the entry VM's daemon. */
#include <errno.h>
#include <event2/bufferevent.h>
#include <event2/listener.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sysexits.h>
#include <dirent.h>
#include "clock.h"
#include "bayhoist/address.h"
#include "daemon.h"
#include "daemon_options.h"
#include "log.h"
#include "version.h"
#include "web.h"

#define TICK_MS 10
#define VM_LIST_PERIOD_TICKS 200
#define CONNECTIONS_PERIOD_TICKS 50
#define MAX_HEADER_BYTES 16384
#define DRAIN_MAX_US (600 * BH__SECOND_US)

static bool start_(Daemon *d);
static bool listen_(Daemon *d);
static void forget_settings_(Daemon *d);
static void make_node_(Daemon *d);
static void add_event_(Daemon *d, struct event *event, const struct timeval *period);
static void on_request_(struct evhttp_request *req, void *arg);
static void on_tick_(evutil_socket_t fd, short what, void *arg);
static struct bufferevent *on_connection_(struct event_base *base, void *arg);
static void limit_connections_(Daemon *d);
static void check_leave_(Daemon *d, uint64_t now_us);
static void on_terminate_(evutil_socket_t sig, short what, void *arg);
static void on_reload_(evutil_socket_t sig, short what, void *arg);
static void send_peer_(BH__NodePorts *ports, const char *address, const BH__Message *m);
static void on_peer_message_(void *daemon, const BH__Message *m);
static void on_peer_unreachable_(void *daemon, const char *address);
static void stop_(Daemon *d);

static const DaemonProgram Program_ = {
	"bayhoistd",
	"Usage: bayhoistd --config FILE [--check]\n"
	"  -c, --config FILE  settings, in JSON with comments\n"
	"      --check        check the settings and exit\n"
	"  -h, --help         show this text\n"
	"  -V, --version      show the version\n"
	"SIGTERM stops without cutting off a request; SIGINT after it stops at once. SIGHUP loads TLS files "
	"anew.\n"
	"Exit status: 0 stopped as asked, 64 wrong usage, 69 an address cannot be used, 78 wrong settings.\n"};

int main(int argc, char **argv)
{
	DaemonOptions options;
	GError *error = NULL;
	Daemon d = {0};
	int status;

	if (!daemon_options_read(&options, &Program_, argc, argv, &status))
		return status;
	if (!settings_load(&d.settings, options.settings_path, &error) || !tls_load(&d, &error)) {
		fprintf(stderr, "bayhoistd: %s\n", error->message);
		g_error_free(error);
		forget_settings_(&d);
		return EX_CONFIG;
	}
	if (options.check) {
		printf("%s: settings are good\n", options.settings_path);
		forget_settings_(&d);
		return EX_OK;
	}
	signal(SIGPIPE, SIG_IGN);
	if (!start_(&d))
		return EX_UNAVAILABLE;
	event_base_dispatch(d.base);
	stop_(&d);
	return EX_OK;
}

/* Frees what the settings led to. */
static void forget_settings_(Daemon *d)
{
	settings_finish(&d->settings);
	SSL_CTX_free(d->client_tls);
	SSL_CTX_free(d->server_tls);
}

static void make_node_(Daemon *d)
{
	const Settings *s = &d->settings;
	BH__NodeOptions options = {.seed = (uint32_t)d->boot_id,
							   .store_reads_per_s = s->store_reads_per_s,
							   .store_writes_per_s = s->store_writes_per_s,
							   .max_requests = (uint32_t)s->max_requests,
							   .once_entries = (uint32_t)s->once_entries,
							   .once_answer_bytes = s->once_answer_bytes};

	options.self.boot_id = d->boot_id;
	g_strlcpy(options.self.name, s->name, sizeof options.self.name);
	g_strlcpy(options.self.hall, s->hall, sizeof options.self.hall);
	g_strlcpy(options.self.peer_address, s->peer_address, sizeof options.self.peer_address);
	g_strlcpy(options.self.caller_address, s->caller_address, sizeof options.self.caller_address);
	d->ports = (BH__NodePorts){.send = send_peer_,
							   .attempt_start = upstream_start,
							   .attempt_cancel = upstream_cancel,
							   .endpoint_poll = poll_start,
							   .endpoint_probe = look_start,
							   .endpoint_order = order_start,
							   .answer_chunk = caller_on_piece,
							   .answer_end = caller_on_end,
							   .event = admin_on_event};
	d->store = etcd_store_new(d);
	d->node = bh__node_new(&d->ports, etcd_store_get_port(d->store), &options);
}

static void send_peer_(BH__NodePorts *ports, const char *address, const BH__Message *m)
{
	peers_send(((Daemon *)ports)->peers, address, m);
}

static void on_peer_message_(void *daemon, const BH__Message *m)
{
	bh__node_process_message(((Daemon *)daemon)->node, m, clock_now_us());
}

static void on_peer_unreachable_(void *daemon, const char *address)
{
	bh__node_process_unreachable(((Daemon *)daemon)->node, address, clock_now_us());
}

static bool listen_(Daemon *d)
{
	char ip[64];
	uint16_t port;

	bh__address_split(d->settings.caller_address, ip, sizeof ip, &port);
	d->http = evhttp_new(d->base);
	evhttp_set_allowed_methods(d->http,
							   EVHTTP_REQ_GET | EVHTTP_REQ_POST | EVHTTP_REQ_PUT | EVHTTP_REQ_DELETE);
	evhttp_set_max_headers_size(d->http, MAX_HEADER_BYTES);
	evhttp_set_max_body_size(d->http, (ev_ssize_t)d->settings.max_body_bytes);
	evhttp_set_timeout(d->http, (int)d->settings.idle_s);
	evhttp_set_gencb(d->http, on_request_, d);
	evhttp_set_bevcb(d->http, on_connection_, d);
	d->listener = evhttp_bind_socket_with_handle(d->http, ip, port);
	return d->listener != NULL;
}

static bool start_(Daemon *d)
{
	struct timeval tick = {0, TICK_MS * 1000};
	PeersOptions peers = {.on_message = on_peer_message_, .on_unreachable = on_peer_unreachable_, .ctx = d};
	struct event_config *config = event_config_new();

	d->boot_id = clock_new_boot_id();
	log_init(d->settings.name, d->settings.hall, d->boot_id);
	/* a stream's piece writes at once: without this each would cost two more system calls */
	event_config_set_flag(config, EVENT_BASE_FLAG_EPOLL_USE_CHANGELIST);
	d->base = event_base_new_with_config(config);
	event_config_free(config);
	d->callers = g_hash_table_new(g_int64_hash, g_int64_equal);
	d->upstreams = g_hash_table_new(g_int64_hash, g_int64_equal);
	d->polls = g_hash_table_new(g_int64_hash, g_int64_equal);
	d->looks = g_hash_table_new(g_direct_hash, g_direct_equal);
	d->events = g_queue_new();
	d->own_events = g_ptr_array_new_with_free_func((GDestroyNotify)event_free);
	make_node_(d);
	peers.base = d->base;
	peers.address = d->settings.peer_address;
	peers.key = d->settings.peer_key;
	d->peers = peers_new(&peers);
	if (!d->peers || !listen_(d)) {
		log_error("listen-failed", "address=%s cause=\"%s\"",
				  d->peers ? d->settings.caller_address : d->settings.peer_address, strerror(errno));
		return false;
	}
	for (char **seed = d->settings.seeds; seed && *seed; seed++)
		bh__members_add_seed((BH__Members *)bh__node_get_members(d->node), *seed);
	add_event_(d, event_new(d->base, -1, EV_PERSIST, on_tick_, d), &tick);
	add_event_(d, evsignal_new(d->base, SIGTERM, on_terminate_, d), NULL);
	add_event_(d, evsignal_new(d->base, SIGINT, on_terminate_, d), NULL);
	add_event_(d, evsignal_new(d->base, SIGHUP, on_reload_, d), NULL);
	log_event("node", "what=started caller_address=%s peer_address=%s version=%s", d->settings.caller_address,
			  d->settings.peer_address, BAYHOIST_VERSION);
	vmlist_poll(d);
	return true;
}

/* Adds an event that lives as long as the process. */
static void add_event_(Daemon *d, struct event *event, const struct timeval *period)
{
	event_add(event, period);
	g_ptr_array_add(d->own_events, event);
}

static void on_request_(struct evhttp_request *req, void *arg)
{
	Daemon *d = arg;
	const char *path = web_get_path(req);

	if (g_str_has_prefix(path, "/v1/"))
		caller_on_request(req, d, path);
	else
		admin_on_request(req, d, path);
}

static void on_tick_(evutil_socket_t fd, short what, void *arg)
{
	static unsigned ticks;
	Daemon *d = arg;
	uint64_t now_us = clock_now_us();

	(void)fd;
	(void)what;
	ticks++;
	if (ticks % VM_LIST_PERIOD_TICKS == 0)
		vmlist_poll(d);
	if (ticks % CONNECTIONS_PERIOD_TICKS == 0)
		limit_connections_(d);
	bh__node_process_tick(d->node, now_us);
	check_leave_(d, now_us);
}

/* Makes the buffer for a connection that was accepted, and takes no more once too many are open. */
static struct bufferevent *on_connection_(struct event_base *base, void *arg)
{
	Daemon *d = arg;

	if (++d->open_files >= d->settings.max_connections)
		evconnlistener_disable(evhttp_bound_socket_get_listener(d->listener));
	return d->server_tls ? tls_server_bufferevent(base, d)
						 : bufferevent_socket_new(base, -1, BEV_OPT_CLOSE_ON_FREE);
}

/* Counts the open files anew and takes connections again if there is room. evhttp does not tell when one
 * closes, so between counts only those that open are added. */
static void limit_connections_(Daemon *d)
{
	DIR *dir = opendir("/proc/self/fd");
	uint64_t count = 0;

	if (!dir)
		return;
	while (readdir(dir))
		count++;
	closedir(dir);
	d->open_files = count;
	if (count < d->settings.max_connections)
		evconnlistener_enable(evhttp_bound_socket_get_listener(d->listener));
}

/* A leaving node stops when callers have had time to hear of it and nothing runs any more. */
static void check_leave_(Daemon *d, uint64_t now_us)
{
	const BH__MemberInfo *self = bh__members_get_self(bh__node_get_members(d->node));

	if (!self->leaving)
		return;
	if (!d->leave_at_us)
		d->leave_at_us = now_us + d->settings.leave_grace_ms * BH__MS_US;
	if (d->stop_now || (now_us >= d->leave_at_us && bh__node_is_idle(d->node)) ||
		now_us >= d->leave_at_us + DRAIN_MAX_US)
		event_base_loopbreak(d->base);
}

/* Begins a planned stop. A repeated SIGTERM changes nothing, since whoever supervises the node may send it
 * again while it stops; only SIGINT, which a person sends, ends a stop at once. */
static void on_terminate_(evutil_socket_t sig, short what, void *arg)
{
	Daemon *d = arg;

	(void)what;
	log_event("node", "what=signal signal=%d", (int)sig);
	d->stop_now = d->stop_now || (d->leave_at_us && sig == SIGINT);
	bh__node_leave(d->node, clock_now_us());
}

static void on_reload_(evutil_socket_t sig, short what, void *arg)
{
	Daemon *d = arg;
	GError *error = NULL;

	(void)sig;
	(void)what;
	if (tls_load(d, &error)) {
		log_event("node", "what=tls-reloaded");
	}
	else {
		log_error("node", "what=tls-kept cause=\"%s\"", error->message);
		g_error_free(error);
	}
}

static void stop_(Daemon *d)
{
	log_event("node", "what=stopped live=%u", bh__node_get_counters(d->node)->live);
	bh__node_delete(d->node);
	upstreams_free(d);
	callers_free(d);
	evhttp_free(d->http);
	polls_free(d);
	looks_free(d);
	peers_delete(d->peers);
	etcd_store_delete(d->store);
	g_ptr_array_unref(d->own_events);
	event_base_free(d->base);
	g_hash_table_unref(d->callers);
	g_hash_table_unref(d->upstreams);
	g_hash_table_unref(d->polls);
	g_queue_free_full(d->events, g_free);
	forget_settings_(d);
	log_finish();
}
