/* SPDX-License-Identifier: BSD-3-Clause */
/* Main program of bayhoist-gate: startup, signal handling and shutdown. */
#include <errno.h>
#include <event2/thread.h>
#include <signal.h>
#include <stdio.h>
#include <string.h>
#include <sysexits.h>
#include "clock.h"
#include "bayhoist/address.h"
#include "crashes.h"
#include "links.h"
#include "relay_server.h"
#include "daemon_options.h"
#include "gate.h"
#include "log.h"
#include "platform.h"
#include "version.h"
#include "web.h"

#define MB (1024ull * 1024)
#define LOG_LINES_PER_S 400 /* a node receives about 20 requests per second, each with 3 to 6 log lines */

static bool start_(Gate *g);
static void add_seeds_(Gate *g);
static void register_event_(Gate *g, struct event *event, const struct timeval *period);
static void on_terminate_(evutil_socket_t sig, short what, void *arg);
static void on_reload_(evutil_socket_t sig, short what, void *arg);
static void free_(Gate *g);

static const char *SettingsPath_;

static const DaemonProgram Program_ = {
	"bayhoist-gate",
	"Usage: bayhoist-gate --config FILE [--check]\n"
	"  -c, --config FILE  settings, in JSON with comments\n"
	"      --check        check the settings and exit\n"
	"  -h, --help         show this text\n"
	"  -V, --version      show the version\n"
	"SIGTERM completes the requests in progress and stops; SIGINT after it stops at once. SIGHUP reloads the "
	"settings.\n"
	"Exit status: 0 normal stop, 64 usage error, 69 startup failed (an address cannot be used), 78 invalid "
	"settings.\n"};

/* Loads the settings, runs the event loop until the node has stopped, and returns the exit status. */
int main(int argc, char **argv)
{
	DaemonOptions options;
	GError *error = NULL;
	Gate g = {0};
	int status;

	if (!daemon_options_read(&options, &Program_, argc, argv, &status))
		return status;
	SettingsPath_ = options.settings_path;
	if (!gate_settings_load(&g.settings, SettingsPath_, &error)) {
		fprintf(stderr, "bayhoist-gate: %s\n", error->message);
		g_error_free(error);
		return EX_CONFIG;
	}
	if (options.check) {
		printf("%s: settings are good\n", SettingsPath_);
		gate_settings_finish(&g.settings);
		return EX_OK;
	}
	signal(SIGPIPE, SIG_IGN);
	if (!start_(&g)) {
		free_(&g);
		return EX_UNAVAILABLE;
	}
	event_base_dispatch(g.base);
	log_event("stop", "what=done calls=%u", g_hash_table_size(g.calls));
	free_(&g);
	return EX_OK;
}

/* Starts all parts of the gateway. Returns false if an address can't be used or the platform port does not
 * start; the error is logged. */
static bool start_(Gate *g)
{
	bool started;

	g->boot_id = clock_new_boot_id();
	g->started_us = clock_now_us();
	bh__startup_state_init(&g->startup_state, g->started_us);
	bh__configuration_state_init(&g->configuration, g->started_us);
	log_init(g->settings.name, g->settings.hall, g->boot_id);
	log_set_buffered(true);
	log_set_limit(LOG_LINES_PER_S);
	g->memory_budget.memory_bytes = g->settings.memory_mb * MB;
	inbounds_apply_settings(g);
	g->base = event_base_new();
	g->port = &PlatformGatePort;
	g->registry = bh__registry_new((uint32_t)g->boot_id);
	last_endpoints_apply_settings(g);
	g->budgets = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	g->route_times = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	g->silence_histories = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	g->calls = g_hash_table_new(g_direct_hash, g_direct_equal);
	g->inbounds = g_hash_table_new(g_direct_hash, g_direct_equal);
	g->unknown_headers = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	g->own_events = g_ptr_array_new_with_free_func((GDestroyNotify)event_free);
	g->reach_port = reach_port_new(g);
	started = cluster_start(g);
	g->platform_sync = platform_sync_new(g);
	g->links = links_new(g);
	g->relay_server = relay_server_new(g);
	g->crashes = crashes_new(g);
	if (!started || !web_start(g) || !inbounds_listen(g) || !g->port->start(g)) {
		log_error("start-failed", "caller_address=%s peer_address=%s cause=\"%s\"",
				  g->settings.caller_address, g->settings.peer_address, strerror(errno));
		return false;
	}
	add_seeds_(g);
	cluster_join(g->cluster);
	bh__platform_sync_process_tick(g->sync, g->started_us);
	g->port->read_duties(g);
	register_event_(g, evsignal_new(g->base, SIGTERM, on_terminate_, g), NULL);
	register_event_(g, evsignal_new(g->base, SIGINT, on_terminate_, g), NULL);
	register_event_(g, evsignal_new(g->base, SIGHUP, on_reload_, g), NULL);
	log_event("start", "caller_address=%s peer_address=%s version=%s", g->settings.caller_address,
			  g->settings.peer_address, BAYHOIST_VERSION);
	return true;
}

/* Adds the peer addresses of the configured seeds, except this node. All nodes use the same peer port. */
static void add_seeds_(Gate *g)
{
	char ip[BH__ADDRESS_LEN];
	char own_ip[BH__ADDRESS_LEN];
	uint16_t port;
	uint16_t peer_port;

	bh__address_split(g->settings.peer_address, own_ip, sizeof own_ip, &peer_port);
	for (char **seed = g->settings.seeds; seed && *seed; seed++) {
		char address[BH__ADDRESS_LEN + 8];
		if (!bh__address_split(*seed, ip, sizeof ip, &port) || !strcmp(ip, own_ip))
			continue;
		g_snprintf(address, sizeof address, "%s:%u", ip, peer_port);
		cluster_add_seed(g->cluster, address);
	}
}

/* Adds an event that is freed when the process exits. `period` may be NULL for an event without a timeout. */
static void register_event_(Gate *g, struct event *event, const struct timeval *period)
{
	event_add(event, period);
	g_ptr_array_add(g->own_events, event);
}

static void on_terminate_(evutil_socket_t sig, short what, void *arg)
{
	(void)what;
	stop_begin(arg, (int)sig);
}

/* Reloads the settings that can change at run time. Invalid settings change nothing. */
static void on_reload_(evutil_socket_t sig, short what, void *arg)
{
	Gate *g = arg;
	GateSettings s;
	GError *error = NULL;

	(void)sig;
	(void)what;
	if (!gate_settings_load(&s, SettingsPath_, &error)) {
		log_error("reload", "what=kept cause=\"%s\"", error->message);
		g_error_free(error);
		return;
	}
	if (strcmp(s.name, g->settings.name) != 0 || strcmp(s.caller_address, g->settings.caller_address) != 0)
		log_error("reload", "what=partial cause=\"name and addresses can only be changed by a restart\"");
	g->settings.max_connections = s.max_connections;
	inbounds_apply_settings(g);
	g->settings.stop_grace_ms = s.stop_grace_ms;
	g->settings.endpoint_drain_ms = s.endpoint_drain_ms;
	g->settings.hall_drain_ms = s.hall_drain_ms;
	g->settings.configuration_ms = s.configuration_ms;
	g->settings.key_trust_ms = s.key_trust_ms;
	g->settings.memory_hold_max_ms = s.memory_hold_max_ms;
	g->settings.directory_ttl_max_s = s.directory_ttl_max_s;
	g->settings.repeat_share = s.repeat_share;
	g->settings.repeat_extra = s.repeat_extra;
	platform_sync_apply_settings(g->platform_sync);
	last_endpoints_apply_settings(g);
	gate_settings_finish(&s);
	log_event("reload", "what=done");
}

/* Frees all parts of the gateway and flushes the log. Parts may be missing after a failed start. */
static void free_(Gate *g)
{
	calls_free(g);
	if (g->listener)
		evconnlistener_free(g->listener);
	g->listener = NULL;
	inbounds_free(g);
	if (g->binding)
		g->port->stop(g);
	web_stop(g);
	relay_server_delete(g->relay_server);
	crashes_delete(g->crashes);
	links_delete(g->links);
	cluster_free(g->cluster);
	platform_sync_delete(g->platform_sync);
	event_base_loop(g->base, EVLOOP_NONBLOCK); /* runs the deferred frees of closed connections */
	reach_port_delete(g->reach_port);
	g_ptr_array_unref(g->own_events);
	event_base_free(g->base);
	bh__routing_unref(g->routing);
	g_free(g->routing_text);
	g_free(g->refused_cause);
	bh__registry_delete(g->registry);
	g_hash_table_unref(g->budgets);
	g_hash_table_unref(g->route_times);
	g_hash_table_unref(g->silence_histories);
	g_hash_table_unref(g->calls);
	g_hash_table_unref(g->inbounds);
	g_hash_table_unref(g->unknown_headers);
	gate_settings_finish(&g->settings);
	log_finish();
}
