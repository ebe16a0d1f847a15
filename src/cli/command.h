/**
 * DOC: A subcommand: its name, its settings and the function that runs it.
 */
#pragma once

#include "base/settings.h"

/** Exit codes of every subcommand. */
#define EXIT_DONE 0
#define EXIT_FAILED 1
#define EXIT_INVALID_SETTINGS 2
#define EXIT_CONFLICT 3

/** struct Command - An entry of the table of subcommands. @run returns the exit code. */
typedef struct
{
  const char *name;
  const char *summary;
  const SettingInfo *settings;
  int (*run) (const Settings *settings);
} Command;

extern const Command command_serve;
extern const Command command_pool;
extern const Command command_explain;
extern const Command command_demo;
extern const Command command_standin;
extern const Command command_apply;
extern const Command command_show;
extern const Command command_history;
extern const Command command_status;
extern const Command command_fault;
extern const Command command_load;
extern const Command command_replay;
extern const Command command_bench;
