/* SPDX-License-Identifier: BSD-3-Clause */
/* The command line that the daemons share: --config, --check, --help and --version. */
#ifndef SHARE_DAEMON_OPTIONS_H
#define SHARE_DAEMON_OPTIONS_H

#include <stdbool.h>

/* Who reads its command line. */
typedef struct {
	const char *program;
	const char *usage; /* the whole text */
} DaemonProgram;

typedef struct {
	const char *settings_path;
	bool check; /* the settings, and exit */
} DaemonOptions;

bool daemon_options_read(DaemonOptions *o, const DaemonProgram *p, int argc, char **argv, int *status);

#endif
