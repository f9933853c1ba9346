/* SPDX-License-Identifier: BSD-3-Clause */
/* State that the sources of the cluster share: the known nodes, and the services whose engines the nodes use
 * together. */
#ifndef BAYHOIST_CLUSTER_INTERNAL_H
#define BAYHOIST_CLUSTER_INTERNAL_H

#include "bayhoist/response_monitor.h"
#include "bayhoist/takeover.h"
#include "gate.h"

/* A service with engines. One of the nodes schedules it. */
typedef struct {
	BH__PlannerPort port; /* first member: callbacks cast it to the enclosing structure */
	Cluster *cluster;
	char service[BH__NAME_LEN];
	BH__Planner *planner;
	uint64_t scheduler;      /* node id of the scheduler; 0: not chosen yet */
	uint64_t scheduler_boot; /* boot id of the scheduler that last received this node's grants */
	/* Time at which this node became the scheduler, or at which its record last failed to be written; 0: it
	 * is not the scheduler. */
	uint64_t scheduling_since_us;
	bool is_recorded; /* the record of this node as the scheduler is stored, or its write is under way */
	BH__Takeover takeover;
	uint64_t next_hold_us; /* time at which the next hold message is due */
	bool had_grants;       /* this node held grants of the service when the last hold message was due */
	BH__ResponseMonitor scheduler_monitor; /* detects a scheduler that leaves asks unanswered */
} Service;

struct Cluster {
	BH__MembersPort port; /* first member: callbacks cast it to the enclosing structure */
	Gate *gate;
	BH__Members *members;
	Peers *peers;
	GHashTable *services; /* Service by name */
	GHashTable *by_ask;   /* Call by ask id */
	GQueue inbox;         /* BH__Message from this node to itself */
	GQueue deferred;      /* DeferredAsk: asks that wait until this node may answer them */
	/* Services without a scheduler whose home is this node, by name. The value is the time (uint64_t, in us)
	 * since which this node has been the home. */
	GHashTable *home_since;
	uint64_t home_members_version;      /* version of the membership that `home_since` reflects */
	uint64_t home_routing_version;      /* version of the configuration that `home_since` reflects */
	bool is_draining;                   /* the inbox is being drained */
	uint64_t scheduler_members_version; /* version of the membership for which schedulers were chosen */
	unsigned member_changes;            /* since the last tick */
	uint64_t last_id;                   /* counter from which ask ids are made */
	struct event *tick;
	struct event *waiting_tick; /* pending while asks wait */
};

/* cluster.c */
void cluster_drain_inbox(Cluster *c);
void cluster_process_node_gone(Cluster *c, uint64_t node_id);
void cluster_schedule_waiting_tick(Cluster *c);

/* engine_log.c */
void engine_log_failure(const Cluster *c, const Service *s, const BH__Message *m, uint64_t now_us);
void engine_log_division(const Service *s, uint64_t now_us);

/* schedulers.c */
Service *schedulers_find(const Cluster *c, uint64_t pool_id);
bool schedulers_has_service(const Cluster *c, const char *service);
void schedulers_free_service(gpointer service);
void schedulers_process_contact(Cluster *c, uint64_t node_id);
void schedulers_apply_membership(Cluster *c, uint64_t now_us);
void schedulers_apply_cold_rates(Cluster *c, uint64_t now_us);
void schedulers_apply_limits(Cluster *c, const BH__RegisteredEndpoint *e);
void schedulers_apply_rate_shares(Cluster *c, uint64_t now_us);
void schedulers_send_holds(Cluster *c, Service *s, uint64_t now_us);
void schedulers_process_hold(Cluster *c, const BH__Message *m, uint64_t now_us);
void schedulers_record_duty(Service *s, uint64_t now_us);
void schedulers_process_grant(Cluster *c, const BH__Grant *g, uint64_t from_node);
void schedulers_process_refusal(Cluster *c, uint64_t ask_id, BH__Reason reason, uint64_t retry_after_ms);
void schedulers_process_release(Cluster *c, const BH__Message *m, uint64_t now_us);

/* limits.c */
uint64_t limits_find_home(const Cluster *c, const char *service);
double limits_get_rate_share(const Cluster *c, uint64_t since_us, uint64_t now_us);
void limits_apply_membership(Cluster *c, uint64_t now_us);
bool limits_process_message(Cluster *c, const BH__Message *m, uint64_t now_us);
void limits_write_status(const Cluster *c, struct evbuffer *out);

/* deferred_asks.c */
void schedulers_process_ask(Cluster *c, const BH__Ask *ask, uint64_t now_us);
void schedulers_process_deferred(Cluster *c, uint64_t now_us);
void schedulers_drop_deferred(Cluster *c, uint64_t ask_id);

/* planner_port.c */
void schedulers_set_port(BH__PlannerPort *port);
void schedulers_notify_queued(Cluster *c, const BH__Ask *ask);

#endif
