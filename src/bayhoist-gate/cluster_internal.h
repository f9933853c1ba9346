/* SPDX-License-Identifier: BSD-3-Clause */
/* What cluster.c and schedulers.c share: the nodes, and the services whose engines they use together. */
#ifndef BAYHOIST_CLUSTER_INTERNAL_H
#define BAYHOIST_CLUSTER_INTERNAL_H

#include "bayhoist/signal_relay.h"
#include "bayhoist/response_monitor.h"
#include "bayhoist/takeover.h"
#include "gate.h"

/* One service with engines. */
typedef struct {
	BH__PlannerPort port; /* first: the planner hands it back */
	Cluster *cluster;
	char service[BH__NAME_LEN];
	BH__Planner *planner;
	uint64_t scheduler;      /* node */
	uint64_t scheduler_boot; /* its life, as far as it was told what this node holds */
	uint64_t schedules_us;   /* since when this node does; 0: it does not */
	bool recorded;           /* that this node does, or that is under way */
	BH__Takeover takeover;
	uint64_t next_holds_us;
	bool held;                             /* something was told of at the last time */
	BH__ResponseMonitor scheduler_monitor; /* of the scheduler */
} Service;

/* What nodes tell each other of endpoints' signals. */
typedef struct {
	BH__SignalRelayPort port; /* first: the relay hands it back */
	Cluster *cluster;
	BH__SignalRelay *relay;
} Signals;

struct Cluster {
	BH__MembersPort port; /* first: membership hands it back */
	Gate *gate;
	BH__Members *members;
	Peers *peers;
	GHashTable *services; /* Service by name */
	GHashTable *by_ask;   /* Call by ask id */
	GQueue inbox;         /* BH__Message to this node itself */
	GQueue early;         /* EarlyAsk of early_asks.c */
	Signals *signals;
	GHashTable
		*homes; /* since when this node is home of a service that nobody schedules (uint64_t), by name */
	uint64_t homes_members; /* versions that this follows */
	uint64_t homes_routing;
	bool draining;
	uint64_t members_seen;
	unsigned member_changes; /* since the last tick */
	uint64_t next_id;
	struct event *tick;
	struct event *waiting_tick;
};

/* cluster.c */
void cluster_drain_inbox(Cluster *c);
void cluster_watch_waiting(Cluster *c);

/* schedulers.c */
Service *schedulers_find(const Cluster *c, uint64_t pool_id);
bool schedulers_has_service(const Cluster *c, const char *service);
void schedulers_free_service(gpointer service);
void schedulers_hear(Cluster *c, uint64_t node_id);
void schedulers_follow(Cluster *c, uint64_t now_us);
void schedulers_follow_cold(Cluster *c, uint64_t now_us);
void schedulers_follow_limits(Cluster *c, const BH__RegisteredEndpoint *e);
void schedulers_follow_parts(Cluster *c, uint64_t now_us);
void schedulers_tell_holds(Cluster *c, Service *s, uint64_t now_us);
void schedulers_process_hold(Cluster *c, const BH__Message *m, uint64_t now_us);
void schedulers_record(Service *s, uint64_t now_us);
void schedulers_take_grant(Cluster *c, const BH__Grant *g, uint64_t from_node);
void schedulers_take_refusal(Cluster *c, uint64_t ask_id, BH__Reason reason, uint64_t retry_after_ms);
void schedulers_process_release(Cluster *c, const BH__Message *m, uint64_t now_us);

/* signals.c */
Signals *signals_new(Cluster *c);
void signals_delete(Signals *s);
void signals_process_tick(Signals *s);
bool signals_process_message(Signals *s, const BH__Message *m);
void signals_tell_node(Signals *s, uint64_t node_id);

/* limits.c */
uint64_t limits_find_home(const Cluster *c, const char *service);
double limits_get_part(const Cluster *c, uint64_t since_us, uint64_t now_us);
void limits_follow(Cluster *c, uint64_t now_us);
bool limits_process_message(Cluster *c, const BH__Message *m, uint64_t now_us);
void limits_write_status(const Cluster *c, struct evbuffer *out);

/* early_asks.c */
void schedulers_process_ask(Cluster *c, const BH__Ask *ask, uint64_t now_us);
void schedulers_process_early(Cluster *c, uint64_t now_us);
void schedulers_drop_early(Cluster *c, uint64_t ask_id);

/* planner_port.c */
void schedulers_set_port(BH__PlannerPort *port);
void schedulers_say_queued(Cluster *c, const BH__Ask *ask);

#endif
