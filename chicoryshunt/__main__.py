"""Run the command line."""

from chicoryshunt.cmdline import main

if __name__ == '__main__':
    main()
