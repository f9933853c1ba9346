/* SPDX-License-Identifier: BSD-3-Clause */
/* A planner port whose callbacks do nothing, for tests that set only those that they observe. */
#ifndef TEST_NULL_PLANNER_PORT_H
#define TEST_NULL_PLANNER_PORT_H

#include "bayhoist/planner.h"

extern const BH__PlannerPort NullPlannerPort;

#endif
