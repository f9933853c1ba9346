/* SPDX-License-Identifier: BSD-3-Clause */
/* A planner port whose callbacks do nothing. */
#include "null_planner_port.h"

static void grant_(BH__PlannerPort *port, const BH__Grant *g)
{
	(void)port;
	(void)g;
}

static void refuse_(BH__PlannerPort *port, const BH__Ask *ask, BH__Reason reason, uint64_t retry_after_ms)
{
	(void)port;
	(void)ask;
	(void)reason;
	(void)retry_after_ms;
}

static void queued_(BH__PlannerPort *port, const BH__Ask *ask)
{
	(void)port;
	(void)ask;
}

static void abandoned_(BH__PlannerPort *port, const BH__Grant *g)
{
	(void)port;
	(void)g;
}

static void inspect_(BH__PlannerPort *port, uint64_t endpoint_id)
{
	(void)port;
	(void)endpoint_id;
}

const BH__PlannerPort NullPlannerPort = {
	.grant = grant_, .refuse = refuse_, .queued = queued_, .abandoned = abandoned_, .inspect = inspect_};
