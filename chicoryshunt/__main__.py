"""Entry point of ``python -m chicoryshunt``."""

from chicoryshunt.cmdline import main

if __name__ == '__main__':
    main()
