/* SPDX-License-Identifier: BSD-3-Clause */
/* Logs: one line of key=value pairs for each event, through log4c on standard output. A reader that does not
 * keep up never stops the process: lines that can't be written are left out and counted. A line stays one
 * whatever its fields hold: control characters and bytes that are no UTF-8 are written as "\xNN". */
#ifndef BAYHOIST_SHARE_LOG_H
#define BAYHOIST_SHARE_LOG_H

#include <stdbool.h>
#include <stdint.h>

void log_init(const char *process, const char *hall, uint64_t boot_id);
void log_finish(void);
void log_set_buffered(bool buffered);
void log_set_limit(double lines);
void log_flush(void);
uint64_t log_get_left_out(void);
void log_event(const char *event, const char *format, ...) __attribute__((format(printf, 2, 3)));
void log_error(const char *event, const char *format, ...) __attribute__((format(printf, 2, 3)));

#endif
