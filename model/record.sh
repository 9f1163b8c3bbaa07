check record pass -DRUNNERS=2 -DRESTARTS=2
check record pass -DRUNNERS=3 -DRESTARTS=1
check record fail -DNO_QUIET -DRUNNERS=2 -DRESTARTS=2
check record fail -DCOPY_ONE -DRUNNERS=2 -DRESTARTS=2
check record fail -DMINORITY -DRUNNERS=2 -DRESTARTS=0
check record fail -DANSWER_AT_ONCE -DRUNNERS=2 -DRESTARTS=1
