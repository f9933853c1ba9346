/* SPDX-License-Identifier: BSD-3-Clause */
/* The operators' client: one file for each group of commands. */
#ifndef BAYHOISTCTL_CTL_H
#define BAYHOISTCTL_CTL_H

#include <glib.h>
#include <json-c/json.h>
#include <stdbool.h>
#include "fetch.h"

typedef struct {
	const char *node; /* IP:port of any node */
	const char *key;
	const char *ca; /* NULL: plain HTTP */
	const char *hall;
	const char *change_id; /* NULL: a new one */
	const char *svg;       /* where to write the time line's picture */
	GPtrArray *logs;       /* paths of log files for the time line */
	unsigned count;        /* changes to watch for; 0: no end */
	bool json;
} Options;

/* Prints an answer, as a command's arguments want it; returns the exit status. */
typedef int (*CtlPrint)(struct json_object *answer, char **arguments);

struct json_object *ctl_get(const Options *o, const char *node, const char *path, int *status);
int ctl_fail(int status, struct json_object *answer);
int ctl_show(const Options *o, int status, struct json_object *answer, CtlPrint print, char **arguments);
const char *ctl_text(struct json_object *o, const char *name);
uint64_t ctl_number(struct json_object *o, const char *name);

char *ctl_log_value(const char *line, const char *key);

int ctl_apply(const Options *o, char **files);
int ctl_get_resources(const Options *o, char **arguments);
int ctl_watch(const Options *o);
int ctl_drain(const Options *o, char **arguments);
int ctl_where(const Options *o);
int ctl_status(const Options *o);
int ctl_timeline(const Options *o);
int ctl_suspects(const Options *o, char **arguments);
int ctl_endpoints(const Options *o, char **arguments);
int ctl_halls(const Options *o, char **addresses);
int ctl_bookings(const Options *o, char **arguments);
int ctl_links(const Options *o, char **arguments);
int ctl_configuration(const Options *o, char **arguments);
int ctl_prefill(const Options *o, char **arguments);
int ctl_paths(const Options *o, char **arguments);
int ctl_explain(char **arguments);
struct json_object *ctl_collect_status(const Options *o, int *status);

#endif
