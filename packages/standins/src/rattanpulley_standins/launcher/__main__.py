"""Runs a local deployment until SIGINT or SIGTERM."""

from rattanpulley_standins._internal.launch import command

if __name__ == "__main__":
    command.main()
